import type {Socket} from 'node:net';
import {type Clock, Fault, type Log, errorText, events, faultKinds} from '@medlarsaddle/core';
import type {Task} from '@medlarsaddle/supervise';
import {
	type CallOutcome,
	Link,
	type Message,
	callModes,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {answerQuestion} from './answer-question.js';
import type {Handlers} from './handlers.js';
import {isReply} from './is-reply.js';
import {refusalOf} from './refusals.js';

type Deps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly handlers: Handlers;
};

/**
 * Task of one connection that another node opened: reads its messages and answers them until it
 * ends. Calls that are open then are given up.
 *
 * @example
 * supervisor.start({name, task: serveConnection(deps, socket), restart: restarts.never});
 */
export const serveConnection =
	({clock, log, handlers}: Deps, socket: Socket): Task =>
	async (signal, ready) => {
		ready();
		const link = Link.over(socket, clock);
		const running = new Map<number, AbortController>();
		const stop = () => {
			link.close();
		};

		const carryOut = async (
			{mode, request}: Extract<Message, {type: 'call'}>,
			callSignal: AbortSignal,
		): Promise<CallOutcome> => {
			try {
				return modes.has(mode)
					? await handlers[mode](request, callSignal)
					: refusalOf(failedHere, runStates.notRun, 0);
			} catch (error) {
				log(events.taskFailed, {task: 'call', error: errorText(error)});
				return refusalOf(failedHere, runStates.unknown, 0);
			}
		};

		const runCall = async (message: Extract<Message, {type: 'call'}>): Promise<void> => {
			const abort = new AbortController();
			running.set(message.id, abort);
			const outcome = await carryOut(message, abort.signal);
			running.delete(message.id);
			link.send({type: messageTypes.outcome, id: message.id, outcome});
		};

		const handle = (message: Message): void => {
			// Replies go to whoever asked, on the connection that it opened.
			if (isReply(message)) {
				return;
			}

			switch (message.type) {
				case messageTypes.call: {
					void runCall(message);
					break;
				}

				case messageTypes.cancel: {
					running.get(message.id)?.abort(new Error('The caller gave up'));
					break;
				}

				case messageTypes.probe: {
					link.send({type: messageTypes.probed, id: message.id});
					break;
				}

				case messageTypes.keyDone: {
					handlers.keyDone(message);
					break;
				}

				case messageTypes.count: {
					void handlers.count(message).then(reply => link.send(reply));
					break;
				}

				case messageTypes.sync:
				case messageTypes.keyQuery:
				case messageTypes.inherit:
				case messageTypes.rollUp:
				case messageTypes.drain: {
					link.send(answerQuestion(handlers, message));
					break;
				}
			}
		};

		signal.addEventListener('abort', stop, {once: true});
		try {
			for await (const message of link.messages()) {
				handle(message);
			}
		} catch (error) {
			if (!signal.aborted) {
				log(events.peerProtocolError, {error: errorText(error)});
			}
		} finally {
			signal.removeEventListener('abort', stop);
			link.close();
			for (const abort of running.values()) {
				abort.abort(new Error('The connection to the caller ended'));
			}
		}
	};

const modes = new Set<string>(Object.values(callModes));

const failedHere = Fault.of(
	faultKinds.internal,
	'The node beside the upstream failed on this call',
	'Look up whether the action took effect; report it with the time of the request',
);
