import {type Clock, errorText} from '@medlarsaddle/core';
import type {Dispatcher} from 'undici';
import type {SentRequest} from './sent-request.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly client: Dispatcher;
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly id: string;
	/** Path prefix of the requested route. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
	/** Deadline that is sent with the request, in milliseconds. */
	readonly deadlineMs?: number;
	/** Aborts when the caller leaves. */
	readonly signal?: AbortSignal;
};

/** Deadline that a caller sends with a request, in milliseconds. */
const defaultDeadlineMs = 2000;

/** Time after the deadline at which the caller aborts the request, in milliseconds. */
const extraWaitMs = 1500;

/**
 * Sends one request and resolves with its result, also when it fails or times out.
 *
 * @example
 * const sent = await sendRequest({client, host, clock, id: 'c1-7', prefix: '/pay/', isIdempotent: false});
 */
export const sendRequest = async ({
	client,
	host,
	clock,
	id,
	prefix,
	isIdempotent,
	deadlineMs = defaultDeadlineMs,
	signal,
}: Opts): Promise<SentRequest> => {
	const request = {
		id,
		host: host.name,
		life: host.startCount,
		target: `${prefix}${id}`,
		body: isIdempotent ? '' : `content of ${id}`,
		isIdempotent,
		deadlineMs,
		sentMs: clock.monotonic(),
	};
	const timeoutSignal = AbortSignal.timeout(deadlineMs + extraWaitMs);
	try {
		const reply = await client.request({
			method: isIdempotent ? 'GET' : 'POST',
			path: request.target,
			headers: {host: 'shop.example', 'attempt-id': id, 'deadline-ms': String(deadlineMs)},
			body: request.body === '' ? undefined : request.body,
			signal: signal ? AbortSignal.any([signal, timeoutSignal]) : timeoutSignal,
		});
		const body = await reply.body.text();
		const answer = {
			id: reply.headers['attempt-id'] as string | undefined,
			seal: reply.headers['server-seal'] as string | undefined,
			body,
		};
		return {...request, endMs: clock.monotonic(), status: reply.statusCode, answer};
	} catch (error) {
		const gaveUp = timeoutSignal.aborted;
		const hasLeft = signal?.aborted ?? false;
		return {...request, endMs: clock.monotonic(), error: errorText(error), gaveUp, hasLeft};
	}
};
