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
import {PendingReplies} from './pending-replies.js';
import {refusalOf} from './refusal-of.js';

type Budgets = Parameters<typeof Link.over>[2];

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly member: Member;
	readonly hello: MessageOf<'hello'>;
	/** What large calls and answers may hold on all connections; unlimited by default. */
	readonly budgets?: Budgets | undefined;
};

const connectTimeoutMs = 500;
const requestTimeoutMs = 1000;
const probeTimeoutMs = 400;
const responsiveForMs = 150;
const silenceCheckPeriodMs = 200;
const probeAfterSilenceMs = 400;
const retireAfterSilenceMs = 1200;
const idleTimeoutMs = 60_000;
const deadlineGraceMs = 100;

/**
 * The connection that this node opens to one other node, with the replies that are pending on it. One
 * that is silent while replies are pending is retired: it takes no new messages, and stays open for
 * those replies, because a lossy link or a busy node is silent as well.
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
	private readonly replies: PendingReplies;
	private link: Link | undefined;
	private nextId = 1;
	private lastUsedMs: number;
	private isRetired = false;
	private resolveOpened: ((isOpen: boolean) => void) | undefined;
	/** Wakes the task that watches for silence, while it waits for a reply to be pending. */
	private wakeWatcher: (() => void) | undefined;

	private constructor(private readonly opts: Opts) {
		this.lastUsedMs = opts.clock.monotonic();
		this.replies = PendingReplies.create({
			clock: opts.clock,
			onFirst: () => {
				this.wakeWatcher?.();
			},
		});
		this.opened = new Promise(resolve => {
			this.resolveOpened = resolve;
		});
	}

	/** Whether messages can be sent. */
	get isOpen(): boolean {
		return this.link?.isOpen ?? false;
	}

	/**
	 * Whether the connection takes no more messages: it was open and has been closed, or it was retired.
	 * Its task may still have to end.
	 */
	get isSpent(): boolean {
		return this.isRetired || this.link?.isOpen === false;
	}

	/** Task of the connection: opens it, reads replies until it ends, then fails pending requests. */
	readonly run: Task = async (signal, ready) => {
		ready();
		const {member, clock, log, hello, budgets} = this.opts;
		const socket = connect({host: member.host, port: member.peerPort});
		const stop = () => socket.destroy();
		signal.addEventListener('abort', stop, {once: true});
		try {
			await once(socket, 'connect', {signal: AbortSignal.timeout(connectTimeoutMs)});
			const link = Link.over(socket, clock, budgets);
			this.link = link;
			link.send(hello);
			this.resolveOpened?.(true);
			log(events.peerConnected, {peer: member.id});
			await Promise.race([this.readReplies(link), this.watchSilence(link)]);
			if (this.replies.size > 0) {
				log(events.peerDisconnected, {peer: member.id, pending: this.replies.size});
			}
		} catch (error) {
			const pending = this.replies.size;
			log(events.peerDisconnected, {peer: member.id, error: errorText(error), pending});
		} finally {
			signal.removeEventListener('abort', stop);
			socket.destroy();
			this.resolveOpened?.(false);
			this.replies.settleAll();
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
			this.retire();
			return undefined;
		}

		const remainingMs = request.remainingMs - (this.opts.clock.monotonic() - startMs);
		if (signal.aborted || remainingMs <= 0) {
			const fault = signal.aborted ? peerFaults.notWanted : peerFaults.notSent;
			return refusalOf(fault, runStates.notRun, request.allowance);
		}

		const id = this.nextId++;
		const timeoutMs = remainingMs + deadlineGraceMs;
		const reply = this.replies.wait({id, timeoutMs, signal, onStalled});
		const call: MessageOf<'call'> = {
			type: messageTypes.call,
			id,
			mode,
			request: {...request, remainingMs},
			...(onStalled ? {takesStalled: true} : {}),
		};
		if (!this.send(call)) {
			this.replies.settle(id, undefined);
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
		const isGivenUp = signal.aborted && !this.isRetired;
		const fault = isGivenUp ? peerFaults.givenUp : peerFaults.connectionLost;
		return refusalOf(isLate ? peerFaults.deadlineExceeded : fault, runStates.unknown, 0);
	}

	/** Sends a request and waits for its reply; undefined when none arrived. */
	async request(build: (id: number) => Message): Promise<Message | undefined> {
		const id = this.nextId++;
		const reply = this.replies.wait({id, timeoutMs: requestTimeoutMs});
		if (!this.send(build(id))) {
			this.replies.settle(id, undefined);
		}

		return reply;
	}

	/** Closes the connection, unless replies are pending on it. */
	closeIfIdle(): void {
		if (this.replies.size === 0) {
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
		const reply = this.replies.wait({id, timeoutMs: probeTimeoutMs});
		this.send({type: messageTypes.probe, id});
		return (await reply) !== undefined;
	}

	private async readReplies(link: Link): Promise<void> {
		for (let batch = await link.receive(); batch; batch = await link.receive()) {
			for (const message of batch) {
				if (message.type === messageTypes.stalled) {
					this.replies.stall(message.id, message.unspent);
				} else if ('id' in message) {
					this.replies.settle(message.id, message);
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

	/** Ends when the connection was idle for too long, or is retired and no reply is pending any more. */
	private async watchSilence(link: Link): Promise<void> {
		while (link.isOpen) {
			if (this.replies.size === 0) {
				if (this.isRetired) {
					return;
				}

				// A node has links to most others and uses few at a time, so idle ones set no timer.
				await this.untilPending(idleTimeoutMs);
				const idleMs = this.opts.clock.monotonic() - this.lastUsedMs;
				if (this.replies.size === 0 && idleMs >= idleTimeoutMs) {
					return;
				}
			} else if (await this.isSilent(link)) {
				this.retire();
			}
		}
	}

	/** Takes no more messages. Calls in flight go on, and those that may be repeated are tried elsewhere. */
	private retire(): void {
		if (!this.isOpen || this.isRetired) {
			return;
		}

		const {log, member} = this.opts;
		this.isRetired = true;
		log(events.peerSilent, {peer: member.id, pending: this.replies.size});
		this.replies.stallAll();
		this.wakeWatcher?.();
	}

	/** Waits for the next check, and probes a connection that is silent while replies are pending. */
	private async isSilent(link: Link): Promise<boolean> {
		const {clock} = this.opts;
		await clock.sleep(alignedDelayMs(clock.monotonic(), silenceCheckPeriodMs));
		// Before the first pending reply, a link may rightly have been silent for a long time.
		const sinceMs = Math.max(link.lastReceivedMs, this.replies.sinceMs);
		const silenceMs = this.replies.size === 0 ? 0 : clock.monotonic() - sinceMs;
		if (silenceMs > probeAfterSilenceMs && silenceMs <= retireAfterSilenceMs) {
			link.send({type: messageTypes.probe, id: 0});
		}

		return silenceMs > retireAfterSilenceMs;
	}
}
