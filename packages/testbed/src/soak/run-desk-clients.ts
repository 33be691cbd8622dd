import {setTimeout} from 'node:timers/promises';
import type {Clock} from '@medlarsaddle/core';
import {sendRequest} from './send-request.js';
import type {SentRequest} from './sent-request.js';
import type {SoakHost} from './soak-host.js';

type Opts = {
	readonly host: SoakHost;
	readonly clock: Clock;
	readonly onSent: (sent: SentRequest) => void;
};

const pauseMs = 100;
const deadlineMs = 5000;

/**
 * Sends actions at a steady rate, each on a connection of its own, until the signal aborts. All requests
 * of their route come from this host, as those of an upstream there would; the clients go on while its
 * node stops.
 *
 * @example
 * await runDeskClients({host, clock, onSent}, signal);
 */
export const runDeskClients = async (
	{host, clock, onSent}: Opts,
	signal: AbortSignal,
): Promise<void> => {
	const sending: Array<Promise<void>> = [];
	const send = async (id: string): Promise<void> => {
		const client = host.connect();
		const prefix = '/desk/';
		onSent(await sendRequest({client, host, clock, id, prefix, isIdempotent: false, deadlineMs}));
		await client.destroy();
	};

	for (let count = 1; !signal.aborted; count++) {
		sending.push(send(`desk-${count}`));
		await setTimeout(pauseMs);
	}

	await Promise.all(sending);
};
