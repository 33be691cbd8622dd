import {type Clock, errorText} from '@medlarsaddle/core';
import type {Client} from 'undici';
import type {SentRequest} from './sent-request.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly client: Client;
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly id: string;
	/** Path prefix of the requested route. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
};

/** Deadline that a caller sends with a request, in milliseconds. */
const deadlineMs = 2000;

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
}: Opts): Promise<SentRequest> => {
	const request = {
		id,
		host: host.name,
		life: host.startCount,
		target: `${prefix}${id}`,
		body: isIdempotent ? '' : `content of ${id}`,
		isIdempotent,
		sentMs: clock.monotonic(),
	};
	const timeoutSignal = AbortSignal.timeout(deadlineMs + extraWaitMs);
	try {
		const reply = await client.request({
			method: isIdempotent ? 'GET' : 'POST',
			path: request.target,
			headers: {host: 'shop.example', 'attempt-id': id, 'deadline-ms': String(deadlineMs)},
			body: request.body === '' ? undefined : request.body,
			signal: timeoutSignal,
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
		return {...request, endMs: clock.monotonic(), error: errorText(error), gaveUp};
	}
};
