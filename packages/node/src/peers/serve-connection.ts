import type {Socket} from 'node:net';
import {ByteBudget} from '@medlarsaddle/control';
import {type Clock, Fault, type Log, errorText, events, faultKinds} from '@medlarsaddle/core';
import type {Task} from '@medlarsaddle/supervise';
import {
	CallEnded,
	type CallOutcome,
	Link,
	type Message,
	callModes,
	endReasons,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {replyTo} from './reply-to.js';
import type {Handlers} from './handlers.js';
import {isReply} from './is-reply.js';
import {refusalOf} from './refusal-of.js';

type Deps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly handlers: Handlers;
	/** What bodies on all connections may hold together; unlimited by default. */
	readonly budget?: ByteBudget;
};

/**
 * Task of one connection that another node opened: reads its messages and replies to them until it
 * ends. Calls that still run then are cancelled.
 *
 * @example
 * supervisor.start({name, task: serveConnection(deps, socket), restart: restartPolicies.never});
 */
export const serveConnection =
	({clock, log, handlers, budget = ByteBudget.unlimited(clock)}: Deps, socket: Socket): Task =>
	async (signal, ready) => {
		ready();
		const link = Link.over(socket, clock, {receiving: budget, sending: budget});
		const running = new Map<number, AbortController>();
		const stop = () => {
			link.close();
		};

		const executeCall = async (
			{id, mode, request, takesStalled}: Extract<Message, {type: 'call'}>,
			callSignal: AbortSignal,
		): Promise<CallOutcome> => {
			const onStalled = (unspent: number) => {
				link.send({type: messageTypes.stalled, id, unspent});
			};

			try {
				return knownModes.has(mode)
					? await handlers[mode](request, callSignal, takesStalled ? onStalled : undefined)
					: refusalOf(handlerFailed, runStates.notRun, 0);
			} catch (error) {
				log(events.taskFailed, {task: 'call', error: errorText(error)});
				return refusalOf(handlerFailed, runStates.unknown, 0);
			}
		};

		const runCall = async (message: Extract<Message, {type: 'call'}>): Promise<void> => {
			const abort = new AbortController();
			running.set(message.id, abort);
			const held = budget.open();
			held.add(message.request.body.length);
			const outcome = await executeCall(message, abort.signal);
			running.delete(message.id);
			held.close();
			if (!link.send({type: messageTypes.outcome, id: message.id, outcome}) && link.isOpen) {
				const refusal = refusalOf(answerDropped, runStates.unknown, 0);
				link.send({type: messageTypes.outcome, id: message.id, outcome: refusal});
			}
		};

		const handle = (message: Message): void => {
			// Replies belong on the connection that the requesting node opened, so none is expected here.
			if (isReply(message)) {
				return;
			}

			switch (message.type) {
				case messageTypes.call: {
					void runCall(message);
					break;
				}

				case messageTypes.cancel: {
					running.get(message.id)?.abort(CallEnded.of(message.reason ?? endReasons.callerLeft));
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
					link.send(replyTo(handlers, message));
					break;
				}
			}
		};

		signal.addEventListener('abort', stop, {once: true});
		try {
			for (let batch = await link.receive(); batch; batch = await link.receive()) {
				for (const message of batch) {
					handle(message);
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				log(events.peerProtocolError, {error: errorText(error)});
			}
		} finally {
			signal.removeEventListener('abort', stop);
			link.close();
			const reason = signal.aborted ? endReasons.nodeStopped : endReasons.linkLost;
			for (const abort of running.values()) {
				abort.abort(CallEnded.of(reason));
			}
		}
	};

const knownModes = new Set<string>(Object.values(callModes));

const answerDropped = Fault.of(
	faultKinds.overloaded,
	'The node beside the upstream has no room left for answers that are not read',
	'Look up whether the action took effect; read answers as they come',
);
const handlerFailed = Fault.of(
	faultKinds.internal,
	'The node beside the upstream failed on this call',
	'Look up whether the action took effect; report it with the time of the request',
);
