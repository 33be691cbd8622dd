import type {AddressInfo} from 'node:net';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {Objects} from './objects.js';
import {platformFaults} from './platform-faults.js';

type Faults = z.infer<typeof platformFaults>;
type Stored = NonNullable<ReturnType<Objects['get']>>;
type Target = {kind: string; name: string};
type Query = {after?: string; watch?: string; waitMs?: string; revision?: string};

const written = z.object({
	metadata: z
		.object({
			name: z.string().optional(),
			revision: z.number().int().optional(),
			finalizers: z.array(z.string()).optional(),
		})
		.default({}),
	spec: z.unknown().optional(),
	status: z.unknown().optional(),
});
const maxBodyBytes = 2 * 1024 * 1024;
const pageSize = 500;
const maxWaitMs = 30_000;

/**
 * Stand-in for the platform's object store: kinds and names, one revision counter, conditional
 * writes, finalizers, paged lists and watches, in memory, with faults on demand and a count of every
 * call. A waiting watch counts as one call.
 *
 * @example
 * const platform = await Platform.start();
 * await platform.stop();
 */
export class Platform {
	/** Starts the stand-in on a port, a free one by default. */
	static async start(port = 0): Promise<Platform> {
		const platform = new Platform();
		await platform.app.listen({host: '127.0.0.1', port});
		return platform;
	}

	/** Calls since the start, by kind. */
	readonly counts = {get: 0, put: 0, watch: 0};
	readonly objects = Objects.create();
	private readonly app = fastify({bodyLimit: maxBodyBytes, forceCloseConnections: true});
	private readonly before = new Map<string, Stored>();
	private faults: Faults = platformFaults.parse({});

	private constructor() {
		this.app.addHook('preHandler', async (req, reply) => {
			if (!req.url.startsWith('/control/')) {
				await this.failEarly(reply);
			}
		});
		this.addReads();
		this.addWrites();
		this.addControl();
	}

	/** Base URL of the store. */
	get url(): string {
		return `http://127.0.0.1:${(this.app.server.address() as AddressInfo).port}`;
	}

	/** Replaces the faults; those not named are off. */
	setFaults(faults: Partial<Faults>): void {
		this.faults = platformFaults.parse(faults);
		this.objects.wake();
	}

	/** Writes an object as the operator does, whatever its revision is. */
	write(kind: string, name: string, spec: unknown): Stored {
		const known = this.objects.get(kind, name);
		return known ? this.objects.edit(kind, known, {spec}) : this.objects.add(kind, name, {spec})!;
	}

	/** Stops the stand-in. */
	async stop(): Promise<void> {
		this.faults = {...this.faults, isDown: true};
		this.objects.wake();
		await this.app.close();
	}

	private addReads(): void {
		this.app.get<{Params: {kind: string}; Querystring: Query}>(
			'/-/objects/:kind',
			async ({params, query}, reply) => {
				if (query.watch !== undefined) {
					this.counts.watch++;
					return this.answerWatch(params.kind, query, reply);
				}

				this.counts.get++;
				const {after = ''} = query;
				const items = this.objects.list(params.kind).filter(({metadata}) => metadata.name > after);
				return {
					items: items.slice(0, pageSize),
					more: items.length > pageSize,
					storeRevision: this.objects.storeRevision,
				};
			},
		);
		this.app.get<{Params: Target}>('/-/objects/:kind/:name', async ({params}, reply) => {
			this.counts.get++;
			const object = this.readMaybeStale(params);
			return object ?? reply.code(404).send({});
		});
	}

	private addWrites(): void {
		const path = '/-/objects/:kind/:name';
		this.app.post<{Params: {kind: string}}>('/-/objects/:kind', async (req, reply) => {
			const {metadata, spec} = written.parse(req.body);
			const name = metadata.name ?? '';
			const {finalizers} = metadata;
			const added = this.objects.add(req.params.kind, name, {spec, finalizers});
			return added
				? this.acknowledge(reply, added)
				: reply.code(409).send(this.objects.get(req.params.kind, name));
		});
		this.app.put<{Params: Target}>(path, async (req, reply) => {
			const {metadata, spec} = written.parse(req.body);
			const {finalizers} = metadata;
			return this.change(req, reply, metadata.revision, object =>
				this.objects.edit(req.params.kind, object, {
					spec,
					...(finalizers === undefined ? {} : {finalizers}),
				}),
			);
		});
		this.app.put<{Params: Target}>(`${path}/status`, async (req, reply) => {
			const {metadata, status} = written.parse(req.body);
			return this.change(req, reply, metadata.revision, object =>
				this.objects.edit(req.params.kind, object, {status}),
			);
		});
		this.app.delete<{Params: Target; Querystring: Query}>(path, async (req, reply) => {
			const {revision} = req.query;
			return this.change(
				req,
				reply,
				revision === undefined ? undefined : Number(revision),
				object => this.objects.remove(req.params.kind, object),
			);
		});
	}

	private addControl(): void {
		this.app.get('/control/counts', async () => this.counts);
		this.app.post('/control/faults', async ({body}) => {
			this.setFaults(platformFaults.parse(body));
			return {};
		});
	}

	/** Changes an object if it has the revision that the call names. */
	private async change(
		{params}: FastifyRequest<{Params: Target}>,
		reply: FastifyReply,
		revision: number | undefined,
		apply: (object: Stored) => Stored,
	): Promise<unknown> {
		const object = this.objects.get(params.kind, params.name);
		if (!object) {
			return reply.code(404).send({});
		}

		if (revision !== undefined && revision !== object.metadata.revision) {
			return reply.code(409).send(object);
		}

		this.before.set(`${params.kind}/${params.name}`, object);
		return this.acknowledge(reply, apply(object));
	}

	private async acknowledge(reply: FastifyReply, object: Stored): Promise<unknown> {
		this.counts.put++;
		if (this.faults.loseAnswers > 0) {
			this.faults = {...this.faults, loseAnswers: this.faults.loseAnswers - 1};
			reply.raw.destroy();
			return reply.hijack();
		}

		return object;
	}

	private async failEarly(reply: FastifyReply): Promise<void> {
		const {delayMs, isSilent, resets, refusals} = this.faults;
		if (delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		if (isSilent) {
			void reply.hijack();
		} else if (resets) {
			reply.raw.socket?.resetAndDestroy();
			void reply.hijack();
		} else if (refusals > 0) {
			this.faults = {...this.faults, refusals: refusals - 1};
			await reply.code(429).send({error: 'The rate is exceeded'});
		} else if (this.faults.isDown) {
			await reply.code(503).send({error: 'The store is down'});
		}
	}

	private readMaybeStale({kind, name}: Target): Stored | undefined {
		if (this.faults.staleReads > 0) {
			this.faults = {...this.faults, staleReads: this.faults.staleReads - 1};
			return this.before.get(`${kind}/${name}`);
		}

		return this.objects.get(kind, name);
	}

	private async answerWatch(
		kind: string,
		{watch, waitMs}: Query,
		reply: FastifyReply,
	): Promise<unknown> {
		const revision = Number(watch);
		await this.untilChanged(kind, revision, Math.min(maxWaitMs, Number(waitMs ?? 0)));
		if (this.faults.isDown) {
			return reply.code(503).send({});
		}

		const changes = this.objects.changesAfter(kind, revision);
		return changes
			? {
					events: changes.map(({deleted, object}) => ({deleted, object})),
					storeRevision: this.objects.storeRevision,
				}
			: reply.code(410).send({});
	}

	private async untilChanged(kind: string, revision: number, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const isOver = () => {
				const changes = this.objects.changesAfter(kind, revision);
				return this.faults.isDown || changes === undefined || changes.length > 0;
			};

			const finish = () => {
				clearTimeout(timer);
				stopListening();
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			const stopListening = this.objects.onChange(() => {
				if (isOver()) {
					finish();
				}
			});
			if (isOver()) {
				finish();
			}
		});
	}
}
