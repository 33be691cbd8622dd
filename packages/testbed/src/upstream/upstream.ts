import {type IncomingMessage, type Server, type ServerResponse, createServer} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random, createRandom} from '@medlarsaddle/core';
import {Agent} from 'undici';
import {type z} from 'zod';
import {Slots} from './slots.js';
import {upstreamFaults} from './upstream-faults.js';
import {work} from './work.js';

type Faults = z.infer<typeof upstreamFaults>;
type Work = z.infer<typeof work>;

type Opts = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	/** Time of the work of one request, in milliseconds. */
	readonly serviceMs: number;
	/** Port of the node on this host for the upstream. */
	readonly nodePort: number;
	readonly seed: number;
	/** Requests until it is warm; the first takes four times as long. */
	readonly coldRequests?: number;
	readonly connectMs?: number;
	/** Called as each request starts and ends to run. */
	readonly onRun?: (id: string, isEnd: boolean) => void;
	/** What a poisoned request does; by default every connection is closed and the port with them. */
	readonly crash?: () => void;
};

const announcePeriodMs = 1000;
const coldFactor = 3;

/**
 * Stand-in for an upstream: slots, a time for each request, calls of its own through its node, and
 * faults on demand. It announces itself to its node with nothing but HTTP.
 *
 * @example
 * const upstream = await Upstream.start({service: 'payment', slots: 8, connections: 60, serviceMs: 5, nodePort, seed: 1});
 */
export class Upstream {
	/** Starts listening and announces itself. */
	static async start(opts: Opts): Promise<Upstream> {
		const upstream = new Upstream(opts);
		await upstream.listen();
		return upstream;
	}

	/** Requests that ran, by ID, with how often. */
	readonly runs = new Map<string, number>();
	/** Requests whose caller had gone before they were done. */
	wasted = 0;
	private server: Server | undefined;
	private port = 0;
	private readonly sockets = new Set<Socket>();
	private readonly silenced = new Set<Socket>();
	private readonly slots: Slots;
	private readonly random: Random;
	private readonly agent = new Agent({connections: 256, pipelining: 1});
	private faults: Faults = upstreamFaults.parse({});
	private served = 0;
	private instance = 1;
	private readonly stopping = new AbortController();

	private constructor(private readonly opts: Opts) {
		this.slots = Slots.create(opts.slots);
		this.random = createRandom(opts.seed);
	}

	/** Whether it takes connections. */
	get isListening(): boolean {
		return this.server?.listening ?? false;
	}

	/** Base URL of the upstream itself. */
	get url(): string {
		return `http://127.0.0.1:${this.port}`;
	}

	/** Whether it was stopped for good. */
	get isStopped(): boolean {
		return this.stopping.signal.aborted;
	}

	/** Requests that ran more than once. */
	get doubles(): string[] {
		return [...this.runs].filter(([_id, count]) => count > 1).map(([id]) => id);
	}

	/** Replaces the faults; those not named are off. */
	setFaults(faults: Partial<Faults>): void {
		this.faults = upstreamFaults.parse(faults);
		if (this.faults.silencesConnections) {
			for (const socket of this.sockets) {
				this.silenced.add(socket);
			}
		}

		void this.announce();
	}

	/** Closes every connection and the port at once, as a crash would. */
	crash(): void {
		this.server?.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Starts again after a crash, as a new instance. */
	async restart(): Promise<void> {
		this.instance++;
		this.served = 0;
		await this.listen();
	}

	/** Withdraws and stops. */
	async stop(): Promise<void> {
		this.stopping.abort();
		await this.tellNode('DELETE').catch(() => {});
		this.crash();
		await this.agent.destroy();
	}

	/** Announces itself to its node once. */
	async announce(): Promise<void> {
		const {service, slots, connections} = this.opts;
		await this.tellNode('PUT', {
			service,
			port: this.port,
			slots: this.faults.reportedSlots === 0 ? slots : this.faults.reportedSlots,
			connections,
			instance: `${process.pid}.${this.instance}`,
			draining: this.faults.isDraining,
		}).catch(() => {});
	}

	private async listen(): Promise<void> {
		const server = createServer((req, res) => {
			this.handle(req, res).catch(() => {
				res.destroy();
			});
		});
		server.on('connection', (socket: Socket) => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
			socket.on('error', () => {});
		});
		server.listen(this.port, '127.0.0.1');
		await once(server, 'listening');
		this.port = (server.address() as AddressInfo).port;
		this.server = server;
		await this.announce();
		void this.keepAnnouncing(server);
	}

	private async keepAnnouncing(server: Server): Promise<void> {
		const {signal} = this.stopping;
		while (!signal.aborted && server.listening) {
			await delay(announcePeriodMs, undefined, {signal, ref: false}).catch(() => {});
			if (!signal.aborted && server.listening) {
				await this.announce();
			}
		}
	}

	private async tellNode(method: 'PUT' | 'DELETE', body?: unknown): Promise<void> {
		const reply = await this.agent.request({
			origin: `http://127.0.0.1:${this.opts.nodePort}`,
			path: '/medlar/upstream',
			method,
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		await reply.body.dump();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.silenced.has(req.socket)) {
			return;
		}

		if (req.url === '/health') {
			this.answerHealth(res);
			return;
		}

		const chunks: Buffer[] = [];
		for await (const chunk of req as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		const job = work.parse(JSON.parse(Buffer.concat(chunks).toString()));
		if (job.poison && this.faults.crashesOnPoison) {
			(
				this.opts.crash ??
				(() => {
					this.crash();
				})
			)();
			return;
		}

		await this.run(job, req, res);
	}

	private answerHealth(res: ServerResponse): void {
		if (this.faults.isFrozen && !this.faults.healthLies) {
			return;
		}

		res.statusCode = this.faults.healthFails ? 503 : 200;
		res.end();
	}

	private async run(job: Work, req: IncomingMessage, res: ServerResponse): Promise<void> {
		await this.slots.take();
		try {
			if (res.destroyed || this.faults.isFrozen) {
				this.wasted++;
				return;
			}

			this.runs.set(job.id, (this.runs.get(job.id) ?? 0) + 1);
			this.opts.onRun?.(job.id, false);
			if (!(await this.spend(this.timeOf(job), res))) {
				this.wasted++;
				return;
			}

			const [next, ...rest] = job.chain;
			const below = next ? await this.callNext(job.id, next, rest, req) : undefined;
			this.opts.onRun?.(job.id, true);
			if (res.destroyed) {
				this.wasted++;
				return;
			}

			this.reply(res, job, below);
		} finally {
			this.slots.giveBack();
		}
	}

	/** Works for a time; false when the caller goes away meanwhile. */
	private async spend(ms: number, res: ServerResponse): Promise<boolean> {
		if (ms === 0) {
			return true;
		}

		const gone = new AbortController();
		const stop = () => {
			gone.abort();
		};

		res.once('close', stop);
		await delay(ms, undefined, {signal: gone.signal}).catch(() => {});
		res.off('close', stop);
		return !gone.signal.aborted;
	}

	private timeOf(job: Work): number {
		const cold = this.opts.coldRequests ?? 0;
		const coldness = cold === 0 ? 0 : Math.max(0, 1 - this.served++ / cold);
		const spread = 0.5 + this.random.next();
		const baseMs = job.ms ?? this.opts.serviceMs;
		return baseMs * this.faults.slowFactor * spread * (1 + coldFactor * coldness);
	}

	private async callNext(
		id: string,
		next: Work['chain'][number],
		rest: Work['chain'],
		req: IncomingMessage,
	): Promise<{status: number; text: string}> {
		const reply = await this.agent.request({
			origin: `http://127.0.0.1:${this.opts.nodePort}`,
			path: `/call/${encodeURIComponent(next.service)}/work`,
			method: 'POST',
			headers: {
				'medlar-job': encodeURIComponent(next.job),
				...(req.headers['medlar-context'] === undefined
					? {}
					: {'medlar-context': String(req.headers['medlar-context'])}),
			},
			body: JSON.stringify({id, ms: next.ms, chain: rest}),
		});
		return {status: reply.statusCode, text: await reply.body.text()};
	}

	private reply(
		res: ServerResponse,
		job: Work,
		below: {status: number; text: string} | undefined,
	): void {
		const isBelowGood = below === undefined || below.status === 200;
		const failed = !isBelowGood || this.random.next() < this.faults.failShare;
		res.statusCode = failed ? 500 : 200;
		const body = JSON.stringify({
			id: job.id,
			service: this.opts.service,
			below: below?.status === 200 ? (JSON.parse(below.text) as unknown) : below?.status,
			// What the whole request failed of, for the caller to count.
			kind: isBelowGood ? undefined : kindIn(below.text),
		});
		res.setHeader('content-type', 'application/json');
		res.setHeader('content-length', Buffer.byteLength(body));
		if (this.random.next() < this.faults.truncateShare) {
			res.write(body.slice(0, body.length / 2));
			res.socket?.end();
			return;
		}

		res.end(body);
	}
}

/** The kind of a refusal, or of a failure further down, in the body of an answer. */
const kindIn = (text: string): unknown => {
	try {
		return (JSON.parse(text) as {kind?: unknown}).kind;
	} catch {
		return undefined;
	}
};
