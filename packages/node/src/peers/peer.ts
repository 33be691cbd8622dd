import {connect} from 'node:net';
import {once} from 'node:events';
import {setImmediate} from 'node:timers/promises';
import {type Clock, type Log, errorText, events, alignedDelayMs} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';
import type {Task} from '@medlarsaddle/supervise';
import {
	CallEnded,
	type CallOutcome,
	type CallRequest,
	Link,
	type Message,
	type MessageOf,
	endReasons,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {peerFaults} from './peer-faults.js';
import {refusalOf} from './refusal-of.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly member: Member;
	readonly hello: MessageOf<'hello'>;
};

type Reply = Message | undefined;

type PendingReply = {
	readonly settle: (reply: Reply) => void;
	/** Takes the retries that a call returns when it stalls; undefined when it may not be repeated. */
	readonly onStalled: ((unspent: number) => void) | undefined;
};

type Awaited = {
	readonly id: number;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
	readonly onStalled?: PendingReply['onStalled'];
};

const connectTimeoutMs = 500;
const requestTimeoutMs = 1000;
const probeTimeoutMs = 400;
const responsiveForMs = 150;
const silenceCheckPeriodMs = 200;
const probeAfterSilenceMs = 400;
const closeAfterSilenceMs = 1200;
const idleTimeoutMs = 60_000;
const deadlineGraceMs = 100;

/**
 * The connection that this node opens to one other node, with the replies that are pending on it.
 *
 * @example
 * const outcome = await peer.call(callModes.run, request, signal);
 */
export class Peer {
	/** Creates a peer; its task opens the connection. */
	static create(opts: Opts): Peer {
		return new Peer(opts);
	}

	/** Resolves with whether the connection could be opened. */
	readonly opened: Promise<boolean>;
	private readonly pendingReplies = new Map<number, PendingReply>();
	private link: Link | undefined;
	private nextId = 1;
	private lastUsedMs: number;
	/** Monotonic time since when at least one reply has been pending. */
	private pendingSinceMs = 0;
	private resolveOpened: ((isOpen: boolean) => void) | undefined;
	/** Wakes the task that watches for silence, while it waits for a reply to be pending. */
	private wakeWatcher: (() => void) | undefined;

	private constructor(private readonly opts: Opts) {
		this.lastUsedMs = opts.clock.monotonic();
		this.opened = new Promise(resolve => {
			this.resolveOpened = resolve;
		});
	}

	/** Whether messages can be sent. */
	get isOpen(): boolean {
		return this.link?.isOpen ?? false;
	}

	/** Whether the connection was open and has been closed; its task may still have to end. */
	get isClosed(): boolean {
		return this.link?.isOpen === false;
	}

	/** Task of the connection: opens it, reads replies until it ends, then fails pending requests. */
	readonly run: Task = async (signal, ready) => {
		ready();
		const {member, clock, log, hello} = this.opts;
		const socket = connect({host: member.host, port: member.peerPort});
		const stop = () => socket.destroy();
		signal.addEventListener('abort', stop, {once: true});
		try {
			await once(socket, 'connect', {signal: AbortSignal.timeout(connectTimeoutMs)});
			const link = Link.over(socket, clock);
			this.link = link;
			link.send(hello);
			this.resolveOpened?.(true);
			log(events.peerConnected, {peer: member.id});
			await Promise.race([this.readReplies(link), this.watchSilence(link)]);
			if (this.pendingReplies.size > 0) {
				// A link that ends by itself reads its end; one that is still open here was silent.
				const cause = link.isOpen ? 'silent' : 'ended';
				log(events.peerDisconnected, {peer: member.id, cause, pending: this.pendingReplies.size});
			}
		} catch (error) {
			const pending = this.pendingReplies.size;
			log(events.peerDisconnected, {peer: member.id, error: errorText(error), pending});
		} finally {
			signal.removeEventListener('abort', stop);
			socket.destroy();
			this.resolveOpened?.(false);
			for (const {settle} of this.pendingReplies.values()) {
				settle(undefined);
			}

			this.pendingReplies.clear();
			this.wakeWatcher?.();
		}
	};

	/**
	 * Sends a call and waits for its outcome, its deadline or the end of the connection. Undefined when
	 * the call was not sent because the connection is closed or did not answer a probe.
	 */
	async call(
		mode: MessageOf<'call'>['mode'],
		request: CallRequest,
		signal: AbortSignal,
		onStalled?: (unspent: number) => void,
	): Promise<CallOutcome | undefined> {
		const startMs = this.opts.clock.monotonic();
		if (!request.idempotent && !(await this.isResponsive())) {
			this.link?.close();
			return undefined;
		}

		const id = this.nextId++;
		const remainingMs = request.remainingMs - (this.opts.clock.monotonic() - startMs);
		const timeoutMs = remainingMs + deadlineGraceMs;
		const reply = this.awaitReply({id, timeoutMs, signal, onStalled});
		const call: MessageOf<'call'> = {
			type: messageTypes.call,
			id,
			mode,
			request: {...request, remainingMs},
			...(onStalled ? {takesStalled: true} : {}),
		};
		if (!this.send(call)) {
			this.pendingReplies.get(id)?.settle(undefined);
			return undefined;
		}

		const message = await reply;
		if (message?.type === messageTypes.outcome) {
			return message.outcome;
		}

		const isLate = this.opts.clock.monotonic() - startMs >= request.remainingMs;
		const endReason = signal.aborted ? CallEnded.reasonOf(signal) : endReasons.linkLost;
		const reason = isLate ? endReasons.deadline : endReason;
		this.send({type: messageTypes.cancel, id, reason});
		return refusalOf(
			isLate || signal.aborted ? peerFaults.deadlineExceeded : peerFaults.connectionLost,
			runStates.unknown,
			0,
		);
	}

	/** Sends a request and waits for its reply; undefined when none arrived. */
	async request(build: (id: number) => Message): Promise<Reply> {
		const id = this.nextId++;
		const reply = this.awaitReply({id, timeoutMs: requestTimeoutMs});
		if (!this.send(build(id))) {
			this.pendingReplies.get(id)?.settle(undefined);
		}

		return reply;
	}

	/** Closes the connection, unless replies are pending on it. */
	closeIfIdle(): void {
		if (this.pendingReplies.size === 0) {
			this.link?.close();
		}
	}

	/** Whether the other node has been heard of recently or answers a probe. */
	async isResponsive(): Promise<boolean> {
		const {link} = this;
		if (!link?.isOpen) {
			return false;
		}

		const startMs = this.opts.clock.monotonic();
		if (startMs - link.lastReceivedMs < responsiveForMs || (await this.probe())) {
			return true;
		}

		// After a stall of this process the reply may still be unread in the socket.
		await setImmediate();
		return link.lastReceivedMs > startMs;
	}

	/** Sends a message that has no reply; false when it could not be sent. */
	send(message: Message): boolean {
		this.lastUsedMs = this.opts.clock.monotonic();
		return this.link?.send(message) ?? false;
	}

	private async probe(): Promise<boolean> {
		const id = this.nextId++;
		const reply = this.awaitReply({id, timeoutMs: probeTimeoutMs});
		this.send({type: messageTypes.probe, id});
		return (await reply) !== undefined;
	}

	private async awaitReply({id, timeoutMs, signal, onStalled}: Awaited): Promise<Reply> {
		return new Promise(resolve => {
			const settle = (reply: Reply) => {
				stopTimer();
				signal?.removeEventListener('abort', onAbort);
				this.pendingReplies.delete(id);
				resolve(reply);
			};

			const onAbort = () => {
				settle(undefined);
			};

			const stopTimer = this.opts.clock.after(Math.max(0, timeoutMs), onAbort);
			signal?.addEventListener('abort', onAbort, {once: true});
			this.pendingReplies.set(id, {settle, onStalled});
			if (this.pendingReplies.size === 1) {
				this.pendingSinceMs = this.opts.clock.monotonic();
				this.wakeWatcher?.();
			}
		});
	}

	private async readReplies(link: Link): Promise<void> {
		for (let batch = await link.receive(); batch; batch = await link.receive()) {
			for (const message of batch) {
				// A reply that is no longer pending arrived too late and is dropped.
				if (message.type === messageTypes.stalled) {
					this.pendingReplies.get(message.id)?.onStalled?.(message.unspent);
				} else if ('id' in message) {
					this.pendingReplies.get(message.id)?.settle(message);
				}
			}
		}
	}

	/** Resolves when a reply is pending, when the connection has ended, or after a time. */
	private async untilPending(ms: number): Promise<void> {
		await new Promise<void>(resolve => {
			const cancel = this.opts.clock.after(ms, resolve);
			this.wakeWatcher = () => {
				cancel();
				resolve();
			};
		});
		this.wakeWatcher = undefined;
	}

	/** Ends when the connection is silent while replies are pending, or was idle for too long. */
	private async watchSilence(link: Link): Promise<void> {
		while (link.isOpen) {
			if (this.pendingReplies.size === 0) {
				// A node has links to most others and uses few at a time, so idle ones set no timer.
				await this.untilPending(idleTimeoutMs);
				const idleMs = this.opts.clock.monotonic() - this.lastUsedMs;
				if (this.pendingReplies.size === 0 && idleMs >= idleTimeoutMs) {
					return;
				}
			} else if (await this.isSilent(link)) {
				return;
			}
		}
	}

	/** Waits for the next check, and probes a connection that is silent while replies are pending. */
	private async isSilent(link: Link): Promise<boolean> {
		const {clock} = this.opts;
		await clock.sleep(alignedDelayMs(clock.monotonic(), silenceCheckPeriodMs));
		// Before the first pending reply, a link may rightly have been silent for a long time.
		const sinceMs = Math.max(link.lastReceivedMs, this.pendingSinceMs);
		const silenceMs = this.pendingReplies.size === 0 ? 0 : clock.monotonic() - sinceMs;
		if (silenceMs > probeAfterSilenceMs && silenceMs <= closeAfterSilenceMs) {
			link.send({type: messageTypes.probe, id: 0});
		}

		return silenceMs > closeAfterSilenceMs;
	}
}
