import {setTimeout} from 'node:timers/promises';
import type {Clock} from '@medlarsaddle/core';
import {sendRequest} from './send-request.js';
import type {SentRequest} from './sent-request.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly clock: Clock;
	readonly host: SoakHost;
	/** Path prefix of the requested route. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
	/** Part of the request IDs that is unique to this wait. */
	readonly name: string;
	readonly onSent: (sent: SentRequest) => void;
};

const pollMs = 50;

/**
 * Sends requests, each on a new connection, until one is answered with status 200. Resolves with false
 * when the signal aborts first.
 *
 * @example
 * const isServed = await waitUntilServed({clock, host, prefix, isIdempotent, name: 'start', onSent}, signal);
 */
export const waitUntilServed = async (
	{clock, host, prefix, isIdempotent, name, onSent}: Opts,
	signal: AbortSignal,
): Promise<boolean> => {
	for (let count = 1; !signal.aborted; count++) {
		const client = host.connect();
		const id = `${host.name}-${name}-${isIdempotent ? 'look' : 'pay'}-${count}`;
		const sent = await sendRequest({client, host, clock, id, prefix, isIdempotent});
		await client.destroy();
		onSent(sent);
		if (sent.status === 200) {
			return true;
		}

		await setTimeout(pollMs);
	}

	return false;
};
