import {setTimeout} from 'node:timers/promises';
import type {Clock, Random} from '@medlarsaddle/core';
import {sendRequest} from './send-request.js';
import type {SentRequest} from './sent-request.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly name: string;
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly random: Random;
	/** Returns the prefix of the route that the newest configuration version added. */
	readonly newestPrefix: () => string;
	readonly onSent: (sent: SentRequest) => void;
};

/** Maximum pause between two requests of a caller, in milliseconds. */
const maxPauseMs = 60;

/** Share of the requests on permanent routes, and the share of these that are not idempotent. */
const permanentRouteShare = 0.8;
const nonIdempotentShare = 0.5;

/**
 * Sends requests one after the other until the signal aborts. The connection is reused until the node
 * closes it.
 *
 * @example
 * await runSoakCaller({name: 'c1', host, clock, random, newestPrefix, onSent}, signal);
 */
export const runSoakCaller = async (
	{name, host, clock, random, newestPrefix, onSent}: Opts,
	signal: AbortSignal,
): Promise<void> => {
	const client = host.connect();
	for (let count = 1; !signal.aborted; count++) {
		const isPermanentRoute = random.next() < permanentRouteShare;
		const isIdempotent = !isPermanentRoute || random.next() >= nonIdempotentShare;
		const prefix = isPermanentRoute ? (isIdempotent ? '/look/' : '/pay/') : newestPrefix();
		const id = `${name}-${count}`;
		onSent(await sendRequest({client, host, clock, id, prefix, isIdempotent}));
		await setTimeout(random.next() * maxPauseMs);
	}

	await client.destroy();
};
