import {type IncomingMessage, type Server, type ServerResponse, createServer} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random, createRandom} from '@medlarsaddle/core';
import {Agent} from 'undici';
import {type z} from 'zod';
import {Slots} from './slots.js';
import {upstreamFaults} from './upstream-faults.js';
import {workRequest} from './work-request.js';

type Faults = z.infer<typeof upstreamFaults>;
type WorkRequest = z.infer<typeof workRequest>;

type Opts = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	/** Service time of one request, in milliseconds. */
	readonly serviceMs: number;
	/** Upstream port of the node on this host. */
	readonly nodePort: number;
	readonly seed: number;
	/** Requests until the upstream is warm; the first takes four times as long. */
	readonly coldRequests?: number;
	readonly connectMs?: number;
	/** Called when the run of each request starts and ends. */
	readonly onRun?: (id: string, isEnd: boolean) => void;
	/** Effect of a poisoned request; by default every connection and the port are closed. */
	readonly crash?: () => void;
};

const announcePeriodMs = 1000;
const coldSlowdown = 3;

/**
 * Simulated upstream: it has slots, spends time on each request, calls other services through its
 * node and shows injected faults. It uses plain HTTP to announce itself to its node.
 *
 * @example
 * const upstream = await Upstream.start({service: 'payment', slots: 8, connections: 60, serviceMs: 5, nodePort, seed: 1});
 */
export class Upstream {
	/** Starts an upstream, which listens and announces itself. */
	static async start(opts: Opts): Promise<Upstream> {
		const upstream = new Upstream(opts);
		await upstream.listen();
		return upstream;
	}

	/** Number of runs of each request, by ID. */
	readonly runs = new Map<string, number>();
	/** Number of requests dropped because the caller disconnected or the upstream was frozen. */
	wasted = 0;
	private server: Server | undefined;
	private port = 0;
	private readonly sockets = new Set<Socket>();
	private readonly silencedSockets = new Set<Socket>();
	private readonly slots: Slots;
	private readonly random: Random;
	private readonly agent = new Agent({connections: 256, pipelining: 1});
	private faults: Faults = upstreamFaults.parse({});
	private servedCount = 0;
	private instanceNumber = 1;
	private readonly stopping = new AbortController();

	private constructor(private readonly opts: Opts) {
		this.slots = Slots.create(opts.slots);
		this.random = createRandom(opts.seed);
	}

	/** Whether the upstream accepts connections. */
	get isListening(): boolean {
		return this.server?.listening ?? false;
	}

	/** Base URL of the upstream, which bypasses the node. */
	get url(): string {
		return `http://127.0.0.1:${this.port}`;
	}

	/** Whether the upstream was stopped; it does not restart. */
	get isStopped(): boolean {
		return this.stopping.signal.aborted;
	}

	/** IDs of the requests that ran more than once. */
	get repeatedIds(): string[] {
		return [...this.runs].filter(([_id, count]) => count > 1).map(([id]) => id);
	}

	/**
	 * Replaces the faults; those not given are off. Resolves once the node has been told of the state
	 * that they make the upstream announce.
	 */
	async setFaults(faults: Partial<Faults>): Promise<void> {
		this.faults = upstreamFaults.parse(faults);
		if (this.faults.silencesConnections) {
			for (const socket of this.sockets) {
				this.silencedSockets.add(socket);
			}
		}

		await this.announce();
	}

	/** Closes every connection and the port at once, as a crash does. */
	crash(): void {
		this.server?.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Starts again after a crash, as a new instance. */
	async restart(): Promise<void> {
		this.instanceNumber++;
		this.servedCount = 0;
		await this.listen();
	}

	/** Withdraws the announcement and stops. */
	async stop(): Promise<void> {
		this.stopping.abort();
		await this.notifyNode('DELETE').catch(() => {});
		this.crash();
		await this.agent.destroy();
	}

	/** Announces the upstream to its node once. */
	async announce(): Promise<void> {
		const {service, slots, connections} = this.opts;
		await this.notifyNode('PUT', {
			service,
			port: this.port,
			slots: this.faults.reportedSlots === 0 ? slots : this.faults.reportedSlots,
			connections,
			instance: `${process.pid}.${this.instanceNumber}`,
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

	private async notifyNode(method: 'PUT' | 'DELETE', body?: unknown): Promise<void> {
		const reply = await this.agent.request({
			origin: `http://127.0.0.1:${this.opts.nodePort}`,
			path: '/medlar/upstream',
			method,
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		await reply.body.dump();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.silencedSockets.has(req.socket)) {
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

		const work = workRequest.parse(JSON.parse(Buffer.concat(chunks).toString()));
		if (work.poison && this.faults.crashesOnPoison) {
			(
				this.opts.crash ??
				(() => {
					this.crash();
				})
			)();
			return;
		}

		await this.run(work, req, res);
	}

	private answerHealth(res: ServerResponse): void {
		if (this.faults.isFrozen && !this.faults.healthLies) {
			return;
		}

		res.statusCode = this.faults.healthFails ? 503 : 200;
		res.end();
	}

	private async run(work: WorkRequest, req: IncomingMessage, res: ServerResponse): Promise<void> {
		await this.slots.acquire();
		try {
			if (res.destroyed || this.faults.isFrozen) {
				this.wasted++;
				return;
			}

			this.runs.set(work.id, (this.runs.get(work.id) ?? 0) + 1);
			this.opts.onRun?.(work.id, false);
			if (!(await this.simulateWork(this.workTimeMs(work), res))) {
				this.wasted++;
				return;
			}

			const [next, ...rest] = work.chain;
			const downstream = next ? await this.callNext(work.id, next, rest, req) : undefined;
			this.opts.onRun?.(work.id, true);
			if (res.destroyed) {
				this.wasted++;
				return;
			}

			this.reply(res, work, downstream);
		} finally {
			this.slots.release();
		}
	}

	/** Waits for the service time; false when the caller disconnects meanwhile. */
	private async simulateWork(ms: number, res: ServerResponse): Promise<boolean> {
		if (ms === 0) {
			return true;
		}

		const disconnected = new AbortController();
		const onClose = () => {
			disconnected.abort();
		};

		res.once('close', onClose);
		await delay(ms, undefined, {signal: disconnected.signal}).catch(() => {});
		res.off('close', onClose);
		return !disconnected.signal.aborted;
	}

	private workTimeMs(work: WorkRequest): number {
		const coldRequests = this.opts.coldRequests ?? 0;
		const remainingColdShare =
			coldRequests === 0 ? 0 : Math.max(0, 1 - this.servedCount++ / coldRequests);
		const jitterFactor = 0.5 + this.random.next();
		const baseMs = work.ms ?? this.opts.serviceMs;
		return baseMs * this.faults.slowFactor * jitterFactor * (1 + coldSlowdown * remainingColdShare);
	}

	private async callNext(
		id: string,
		next: WorkRequest['chain'][number],
		rest: WorkRequest['chain'],
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
		work: WorkRequest,
		downstream: {status: number; text: string} | undefined,
	): void {
		const isDownstreamOk = downstream === undefined || downstream.status === 200;
		const failed = !isDownstreamOk || this.random.next() < this.faults.failShare;
		res.statusCode = failed ? 500 : 200;
		const body = JSON.stringify({
			id: work.id,
			service: this.opts.service,
			below:
				downstream?.status === 200 ? (JSON.parse(downstream.text) as unknown) : downstream?.status,
			// The fault of the request, which the caller counts.
			kind: isDownstreamOk ? undefined : faultKindIn(downstream.text),
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

/** Kind of a refusal, or of a fault further downstream, in the body of an answer. */
const faultKindIn = (text: string): unknown => {
	try {
		return (JSON.parse(text) as {kind?: unknown}).kind;
	} catch {
		return undefined;
	}
};
