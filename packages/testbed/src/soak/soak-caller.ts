import {setTimeout} from 'node:timers/promises';
import type {Clock, Random} from '@medlarsaddle/core';
import {sendRequest} from './send-request.js';
import type {Sent} from './sent.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly name: string;
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly random: Random;
	/** Prefix of the newest route that the configuration adds. */
	readonly newestPrefix: () => string;
	readonly onSent: (sent: Sent) => void;
};

/** Longest pause between two requests of a caller, in milliseconds. */
const maxPauseMs = 60;

/** Share of the requests on routes that stay, and of these that may run once only. */
const steadyShare = 0.8;
const onceShare = 0.5;

/**
 * Sends requests one after the other until it is told to stop. It keeps its connection for as long as
 * the node does.
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
		const isSteady = random.next() < steadyShare;
		const isIdempotent = !isSteady || random.next() >= onceShare;
		const prefix = isSteady ? (isIdempotent ? '/look/' : '/pay/') : newestPrefix();
		const id = `${name}-${count}`;
		onSent(await sendRequest({client, host, clock, id, prefix, isIdempotent}));
		await setTimeout(random.next() * maxPauseMs);
	}

	await client.destroy();
};
