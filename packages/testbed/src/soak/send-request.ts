import {type Clock, errorText} from '@medlarsaddle/core';
import type {Client} from 'undici';
import type {Sent} from './sent.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly client: Client;
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly id: string;
	/** Prefix of the route that it goes to. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
};

/** Time that a caller gives a request, in milliseconds. */
const budgetMs = 2000;

/** How long it waits for an answer beyond that before it gives up, in milliseconds. */
const patienceMs = 1500;

/**
 * Sends one request and resolves with what its caller saw, whatever that was.
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
}: Opts): Promise<Sent> => {
	const request = {
		id,
		host: host.name,
		life: host.life,
		target: `${prefix}${id}`,
		body: isIdempotent ? '' : `content of ${id}`,
		isIdempotent,
		sentMs: clock.monotonic(),
	};
	const patience = AbortSignal.timeout(budgetMs + patienceMs);
	try {
		const reply = await client.request({
			method: isIdempotent ? 'GET' : 'POST',
			path: request.target,
			headers: {host: 'shop.example', 'attempt-id': id, 'deadline-ms': String(budgetMs)},
			body: request.body === '' ? undefined : request.body,
			signal: patience,
		});
		const body = await reply.body.text();
		const answer = {
			id: reply.headers['attempt-id'] as string | undefined,
			seal: reply.headers['server-seal'] as string | undefined,
			body,
		};
		return {...request, endMs: clock.monotonic(), status: reply.statusCode, answer};
	} catch (error) {
		const gaveUp = patience.aborted;
		return {...request, endMs: clock.monotonic(), error: errorText(error), gaveUp};
	}
};
