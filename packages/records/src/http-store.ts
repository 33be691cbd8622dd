import {Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {Agent, type Dispatcher} from 'undici';
import type {ObjectStore} from './object-store.js';
import type {StoredObject} from './stored-object.js';

type Opts = {
	readonly url: string;
	readonly timeoutMs?: number;
	readonly watchMs?: number;
	/** Whether an address can be reached at all. */
	readonly reaches?: (host: string, port: number) => boolean;
	/** Called once for each call, with its kind, to keep account of the platform's load. */
	readonly onCall?: (kind: 'get' | 'put' | 'watch') => void;
};

type Call = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	readonly body?: string;
};

type Reply = {
	readonly status: number;
	readonly body: unknown;
};

const defaultTimeoutMs = 1000;
const defaultWatchMs = 20_000;
const maxObjectBytes = 1024 * 1024;

/**
 * Talks to the platform's object API over HTTP. It never repeats a call by itself.
 *
 * @example
 * const store = HttpStore.create({url: 'http://127.0.0.1:9000'});
 */
export class HttpStore implements ObjectStore {
	/** Creates a client; connections open as they are needed. */
	static create(opts: Opts): HttpStore {
		return new HttpStore({
			timeoutMs: defaultTimeoutMs,
			watchMs: defaultWatchMs,
			onCall() {},
			reaches: () => true,
			...opts,
		});
	}

	private readonly agent = new Agent({connections: 16, pipelining: 1});

	private constructor(private readonly opts: Required<Opts>) {}

	async get(name: string, signal: AbortSignal): Promise<Result<StoredObject, Fault>> {
		this.opts.onCall('get');
		const reply = await this.call({
			method: 'GET',
			path: pathOf(name),
			timeoutMs: this.opts.timeoutMs,
			signal,
		});
		return reply.andThen(({status, body}) =>
			status === 404 ? ok({version: 0, value: undefined}) : objectOf(status, body),
		);
	}

	async put(
		name: string,
		value: unknown,
		ifVersion: number,
		signal: AbortSignal,
	): Promise<Result<number, Fault>> {
		const body = JSON.stringify({value, ifVersion});
		if (Buffer.byteLength(body) > maxObjectBytes) {
			return err(tooLarge);
		}

		this.opts.onCall('put');
		const reply = await this.call({
			method: 'PUT',
			path: pathOf(name),
			timeoutMs: this.opts.timeoutMs,
			signal,
			body,
		});
		return reply.andThen(({status, body: answer}) => {
			if (status === 409) {
				return err(conflict);
			}

			return objectOf(status, answer).map(({version}) => version);
		});
	}

	async watch(
		name: string,
		afterVersion: number,
		signal: AbortSignal,
	): Promise<Result<StoredObject | undefined, Fault>> {
		this.opts.onCall('watch');
		const {watchMs, timeoutMs} = this.opts;
		const path = `${pathOf(name)}?after=${afterVersion}&waitMs=${watchMs}`;
		const reply = await this.call({method: 'GET', path, timeoutMs: watchMs + timeoutMs, signal});
		return reply.andThen(({status, body}) =>
			status === 204 || status === 404 ? ok(undefined) : objectOf(status, body),
		);
	}

	/** Closes every connection. */
	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async call({method, path, timeoutMs, signal, body}: Call): Promise<Result<Reply, Fault>> {
		const {hostname, port} = new URL(this.opts.url);
		if (!this.opts.reaches(hostname, Number(port))) {
			return err(cutOff);
		}

		try {
			const reply = await this.agent.request({
				origin: this.opts.url,
				method,
				path,
				body,
				headers: body === undefined ? {} : {'content-type': 'application/json'},
				signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]),
			});
			const text = await reply.body.text();
			return ok({
				status: reply.statusCode,
				body: text === '' ? undefined : (JSON.parse(text) as unknown),
			});
		} catch (error) {
			return err(
				Fault.of(
					faultKinds.storeDown,
					`The platform's store did not answer (${errorText(error)})`,
					'Wait until it answers again; nodes go on with the policy they hold',
				),
			);
		}
	}
}

const pathOf = (name: string): string => `/objects/${encodeURIComponent(name)}`;

const objectOf = (status: number, body: unknown): Result<StoredObject, Fault> => {
	const version = (body as StoredObject | undefined)?.version;
	if (status !== 200 || typeof version !== 'number') {
		return err(
			Fault.of(
				faultKinds.storeDown,
				`The platform's store answered with status ${status}`,
				'Wait until it recovers; nodes go on with the policy they hold',
			),
		);
	}

	return ok(body as StoredObject);
};

const conflict = Fault.of(
	faultKinds.conflict,
	'The object has a newer version',
	'Read it again, then decide on the change anew',
);
const tooLarge = Fault.of(
	faultKinds.tooLarge,
	'The object would be larger than the platform holds',
	'Use more policy shards or shorter sections',
);
const cutOff = Fault.of(
	faultKinds.storeDown,
	"The platform's store cannot be reached",
	'Wait until the network is back; nodes go on with the policy they hold',
);
