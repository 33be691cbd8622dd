import {connect} from 'node:net';
import {createSystemClock} from '@medlarsaddle/core';
import {Link, callModes, messageTypes} from '@medlarsaddle/wire';

/**
 * Opens one framed stream and returns a function that sends a body and resolves with the reply.
 *
 * @example
 * const send = createFramedClient(port);
 */
export const createFramedClient = (port: number): ((body: Uint8Array) => Promise<Uint8Array>) => {
	const link = Link.over(connect({port, host: '127.0.0.1'}), createSystemClock());
	const pending = new Map<number, (body: Uint8Array) => void>();
	let id = 0;
	const read = async () => {
		for await (const message of link.messages()) {
			if (message.type === messageTypes.outcome && message.outcome.result.kind === 'answer') {
				pending.get(message.id)?.(message.outcome.result.body);
				pending.delete(message.id);
			}
		}
	};

	void read();
	return async body =>
		new Promise(resolve => {
			pending.set(++id, resolve);
			const request = {
				service: 'hop',
				job: 'hop',
				method: 'POST',
				path: '/',
				headers: [],
				body,
				rootId: 'hop',
				rank: 0,
				cohort: 0,
				remainingMs: 1000,
				allowance: 0,
				depth: 0,
				idempotent: true,
			};
			link.send({type: messageTypes.call, id, mode: callModes.run, request});
		});
};
