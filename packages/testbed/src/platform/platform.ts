import type {AddressInfo} from 'node:net';
import {type Clock, createSystemClock} from '@medlarsaddle/core';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {ObjectTable} from './object-table.js';
import {platformFaults} from './platform-faults.js';
import {StoreWatches} from './store-watches.js';

type Faults = z.infer<typeof platformFaults>;
type StoredObject = NonNullable<ReturnType<ObjectTable['get']>>;
type ObjectPath = {kind: string; name: string};
type Query = {after?: string; watch?: string; waitMs?: string; revision?: string};

const writeBody = z.object({
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
 * In-memory simulation of the platform's object store: kinds and names, one revision counter,
 * conditional writes, finalizers, paged lists, watches and restores from a copy. Faults can be
 * injected, and calls are counted; a waiting watch counts as one call.
 *
 * @example
 * const platform = await Platform.start();
 * await platform.stop();
 */
export class Platform {
	/** Starts the store on a port, a free one by default. */
	static async start(port = 0, clock: Clock = createSystemClock()): Promise<Platform> {
		const platform = new Platform(clock);
		await platform.app.listen({host: '127.0.0.1', port});
		return platform;
	}

	/** Number of calls since the start, by kind. */
	readonly counts = {get: 0, put: 0, watch: 0};
	readonly objects: ObjectTable;
	private readonly watches: StoreWatches;
	private readonly app = fastify({bodyLimit: maxBodyBytes, forceCloseConnections: true});
	private readonly previousObjects = new Map<string, StoredObject>();
	private faults: Faults = platformFaults.parse({});

	private constructor(private readonly clock: Clock) {
		this.objects = ObjectTable.create(clock);
		this.watches = StoreWatches.create(this.objects);
		this.app.addHook('onSend', async (_req, reply) => {
			void reply.header('store-era', this.objects.era);
		});
		this.app.addHook('preHandler', async (req, reply) => {
			if (!req.url.startsWith('/control/')) {
				await this.applyRequestFaults(reply);
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

	/** Replaces the faults; those not given are off. */
	setFaults(faults: Partial<Faults>): void {
		this.faults = platformFaults.parse(faults);
		this.objects.notifyListeners();
	}

	/** Writes an object unconditionally, as an operator does. */
	write(kind: string, name: string, spec: unknown): StoredObject {
		const existing = this.objects.get(kind, name);
		return existing
			? this.objects.edit(kind, existing, {spec})
			: this.objects.add(kind, name, {spec})!;
	}

	/**
	 * Restores the store from a copy of the given age and begins a new era. Waiting watches are cut off,
	 * or continue from the revisions that they had.
	 */
	restore({ageMs, areWatchesCut}: {ageMs: number; areWatchesCut: boolean}): void {
		this.objects.restore(this.objects.revisionAt(this.clock.monotonic() - ageMs));
		this.previousObjects.clear();
		if (areWatchesCut) {
			this.watches.cutOff();
		}
	}

	/** Stops the store. */
	async stop(): Promise<void> {
		this.faults = {...this.faults, isDown: true};
		this.objects.notifyListeners();
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
		this.app.get<{Params: ObjectPath}>('/-/objects/:kind/:name', async ({params}, reply) => {
			this.counts.get++;
			const object = this.readObject(params);
			return object ?? reply.code(404).send({});
		});
	}

	private addWrites(): void {
		const path = '/-/objects/:kind/:name';
		this.app.post<{Params: {kind: string}}>('/-/objects/:kind', async (req, reply) => {
			const {metadata, spec} = writeBody.parse(req.body);
			const name = metadata.name ?? '';
			const {finalizers} = metadata;
			const added = this.objects.add(req.params.kind, name, {spec, finalizers});
			return added
				? this.acknowledge(reply, added)
				: reply.code(409).send(this.objects.get(req.params.kind, name));
		});
		this.app.put<{Params: ObjectPath}>(path, async (req, reply) => {
			const {metadata, spec} = writeBody.parse(req.body);
			const {finalizers} = metadata;
			return this.change(req, reply, metadata.revision, object =>
				this.objects.edit(req.params.kind, object, {
					spec,
					...(finalizers === undefined ? {} : {finalizers}),
				}),
			);
		});
		this.app.put<{Params: ObjectPath}>(`${path}/status`, async (req, reply) => {
			const {metadata, status} = writeBody.parse(req.body);
			return this.change(req, reply, metadata.revision, object =>
				this.objects.edit(req.params.kind, object, {status}),
			);
		});
		this.app.delete<{Params: ObjectPath; Querystring: Query}>(path, async (req, reply) => {
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

	/** Changes an object if its revision is the one that the call expects. */
	private async change(
		{params}: FastifyRequest<{Params: ObjectPath}>,
		reply: FastifyReply,
		revision: number | undefined,
		apply: (object: StoredObject) => StoredObject,
	): Promise<unknown> {
		const object = this.objects.get(params.kind, params.name);
		if (!object) {
			return reply.code(404).send({});
		}

		if (revision !== undefined && revision !== object.metadata.revision) {
			return reply.code(409).send(object);
		}

		this.previousObjects.set(`${params.kind}/${params.name}`, object);
		return this.acknowledge(reply, apply(object));
	}

	private async acknowledge(reply: FastifyReply, object: StoredObject): Promise<unknown> {
		this.counts.put++;
		if (this.faults.loseAnswers > 0) {
			this.faults = {...this.faults, loseAnswers: this.faults.loseAnswers - 1};
			reply.raw.destroy();
			return reply.hijack();
		}

		return object;
	}

	private async applyRequestFaults(reply: FastifyReply): Promise<void> {
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

	private readObject({kind, name}: ObjectPath): StoredObject | undefined {
		if (this.faults.staleReads > 0) {
			this.faults = {...this.faults, staleReads: this.faults.staleReads - 1};
			return this.previousObjects.get(`${kind}/${name}`);
		}

		return this.objects.get(kind, name);
	}

	private async answerWatch(
		kind: string,
		{watch, waitMs}: Query,
		reply: FastifyReply,
	): Promise<unknown> {
		const revision = Number(watch);
		if (revision > this.objects.storeRevision) {
			return reply.code(410).send({});
		}

		const isCutOff = await this.watches.wait({
			kind,
			revision,
			waitMs: Math.min(maxWaitMs, Number(waitMs ?? 0)),
			isInterrupted: () => this.faults.isDown,
		});
		if (isCutOff) {
			reply.raw.destroy();
			return reply.hijack();
		}

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
}
