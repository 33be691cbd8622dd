import {connect} from 'node:net';
import {once} from 'node:events';
import {setImmediate} from 'node:timers/promises';
import {
	type Clock,
	type Log,
	Fault,
	errorText,
	events,
	faultKinds,
	alignedDelayMs,
} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';
import type {Task} from '@medlarsaddle/supervise';
import {
	type CallOutcome,
	type CallRequest,
	Link,
	type Message,
	type MessageOf,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {refusalOf} from './refusals.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly member: Member;
	readonly hello: MessageOf<'hello'>;
};

type Reply = Message | undefined;

const connectMs = 500;
const askMs = 1000;
const probeMs = 400;
const provenForMs = 150;
const watchPeriodMs = 200;
const quietMs = 400;
const silentMs = 1200;
const idleCloseMs = 60_000;
const deadlineGraceMs = 100;

/**
 * The connection that this node opens to one other node, and the calls that wait on it.
 *
 * @example
 * const outcome = await peer.call('run', request, signal);
 */
export class Peer {
	/** Creates a peer; its task opens the connection. */
	static create(opts: Opts): Peer {
		return new Peer(opts);
	}

	/** Resolves with true once the connection is open, with false when it could not be opened. */
	readonly opened: Promise<boolean>;
	private readonly waiting = new Map<number, (reply: Reply) => void>();
	private link: Link | undefined;
	private nextId = 1;
	private usedMs: number;
	/** Since when there has been somebody who waits for a reply. */
	private waitingSinceMs = 0;
	private settleOpened: ((isOpen: boolean) => void) | undefined;

	private constructor(private readonly opts: Opts) {
		this.usedMs = opts.clock.monotonic();
		this.opened = new Promise(resolve => {
			this.settleOpened = resolve;
		});
	}

	/** Whether messages can be sent. */
	get isOpen(): boolean {
		return this.link?.isOpen ?? false;
	}

	/** Task of the connection: opens it, reads replies until it ends, then fails what still waits. */
	readonly run: Task = async (signal, ready) => {
		ready();
		const {member, clock, log, hello} = this.opts;
		const socket = connect({host: member.host, port: member.peerPort});
		const stop = () => socket.destroy();
		signal.addEventListener('abort', stop, {once: true});
		try {
			await once(socket, 'connect', {signal: AbortSignal.timeout(connectMs)});
			const link = Link.over(socket, clock);
			this.link = link;
			link.send(hello);
			this.settleOpened?.(true);
			log(events.peerConnected, {peer: member.id});
			await Promise.race([this.readReplies(link), this.watch(link)]);
		} catch (error) {
			log(events.peerDisconnected, {peer: member.id, error: errorText(error)});
		} finally {
			signal.removeEventListener('abort', stop);
			socket.destroy();
			this.settleOpened?.(false);
			for (const settle of this.waiting.values()) {
				settle(undefined);
			}

			this.waiting.clear();
		}
	};

	/**
	 * Sends a call and waits for its outcome, its deadline or the end of the connection. Undefined when
	 * the call was not sent because the connection is closed or proved silent.
	 */
	async call(
		mode: MessageOf<'call'>['mode'],
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome | undefined> {
		const startMs = this.opts.clock.monotonic();
		if (!request.idempotent && !(await this.isProven())) {
			this.link?.close();
			return undefined;
		}

		const id = this.nextId++;
		const remainingMs = request.remainingMs - (this.opts.clock.monotonic() - startMs);
		const reply = this.awaitReply(id, remainingMs + deadlineGraceMs, signal);
		if (!this.send({type: messageTypes.call, id, mode, request: {...request, remainingMs}})) {
			this.waiting.get(id)?.(undefined);
			return undefined;
		}

		const message = await reply;
		if (message?.type === messageTypes.outcome) {
			return message.outcome;
		}

		this.send({type: messageTypes.cancel, id});
		const isLate = this.opts.clock.monotonic() - startMs >= request.remainingMs;
		return refusalOf(isLate || signal.aborted ? tooLate : lost, runStates.unknown, 0);
	}

	/** Sends a question and waits for its reply; undefined when none came. */
	async ask(build: (id: number) => Message): Promise<Reply> {
		const id = this.nextId++;
		const reply = this.awaitReply(id, askMs);
		if (!this.send(build(id))) {
			this.waiting.get(id)?.(undefined);
		}

		return reply;
	}

	/** Sends a message that has no reply; false when it could not be sent. */
	send(message: Message): boolean {
		this.usedMs = this.opts.clock.monotonic();
		return this.link?.send(message) ?? false;
	}

	private async isProven(): Promise<boolean> {
		const {link} = this;
		if (!link?.isOpen) {
			return false;
		}

		const startMs = this.opts.clock.monotonic();
		if (startMs - link.lastReceivedMs < provenForMs || (await this.probe())) {
			return true;
		}

		// After a stall of this process the reply may stand in the socket, still unread.
		await setImmediate();
		return link.lastReceivedMs > startMs;
	}

	private async probe(): Promise<boolean> {
		const id = this.nextId++;
		const reply = this.awaitReply(id, probeMs);
		this.send({type: messageTypes.probe, id});
		return (await reply) !== undefined;
	}

	private async awaitReply(id: number, timeoutMs: number, signal?: AbortSignal): Promise<Reply> {
		return new Promise(resolve => {
			const settle = (reply: Reply) => {
				stopTimer();
				signal?.removeEventListener('abort', onAbort);
				this.waiting.delete(id);
				resolve(reply);
			};

			const onAbort = () => {
				settle(undefined);
			};

			const stopTimer = this.opts.clock.after(Math.max(0, timeoutMs), onAbort);
			signal?.addEventListener('abort', onAbort, {once: true});
			if (this.waiting.size === 0) {
				this.waitingSinceMs = this.opts.clock.monotonic();
			}

			this.waiting.set(id, settle);
		});
	}

	private async readReplies(link: Link): Promise<void> {
		for await (const message of link.messages()) {
			// A reply that nobody waits for any more came late and is dropped.
			if ('id' in message) {
				this.waiting.get(message.id)?.(message);
			}
		}
	}

	/** Ends when the connection has gone silent while calls wait, or was not used for long. */
	private async watch(link: Link): Promise<void> {
		while (link.isOpen) {
			const {clock} = this.opts;
			await clock.sleep(alignedDelayMs(clock.monotonic(), watchPeriodMs));
			const nowMs = clock.monotonic();
			// A link on which nobody waited may have been quiet for long.
			const quiet = nowMs - Math.max(link.lastReceivedMs, this.waitingSinceMs);
			if (this.waiting.size === 0) {
				if (nowMs - this.usedMs > idleCloseMs) {
					return;
				}
			} else if (quiet > silentMs) {
				return;
			} else if (quiet > quietMs) {
				link.send({type: messageTypes.probe, id: 0});
			}
		}
	}
}

const lost = Fault.of(
	faultKinds.unreachable,
	'The connection ended before the answer came',
	'Look up whether the action took effect before sending it again',
);
const tooLate = Fault.of(
	faultKinds.deadlineExceeded,
	'The answer did not come before the deadline',
	'Look up whether the action took effect before sending it again',
);
