import {type Clock, type Log, Fault, faultKinds} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';
import {type Supervisor, restartPolicies} from '@medlarsaddle/supervise';
import {
	type CallOutcome,
	type CallRequest,
	type Link,
	type Message,
	type MessageOf,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {Peer} from './peer.js';
import {refusalOf} from './refusal-of.js';

type Budgets = Parameters<typeof Link.over>[2];

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Supervises the task of each connection. */
	readonly supervisor: Supervisor;
	readonly self: () => Member;
	/** Whether an address can be reached at all. */
	readonly canReach: (host: string, port: number) => boolean;
	/** What large calls and answers may hold on all connections; unlimited by default. */
	readonly budgets?: Budgets | undefined;
};

type OutgoingCall = {
	readonly mode: MessageOf<'call'>['mode'];
	readonly request: CallRequest;
	readonly signal: AbortSignal;
	/**
	 * Takes the retries that the call returns once nothing shows whether its upstream has received it.
	 */
	readonly onStalled?: ((unspent: number) => void) | undefined;
};

const maxConnectAttempts = 2;

/**
 * Connections to other nodes, one for each node, opened on demand.
 *
 * @example
 * const outcome = await peers.call(member, {mode: callModes.run, request, signal});
 */
export class Peers {
	/** Creates a set without connections. */
	static create(opts: Opts): Peers {
		return new Peers(opts);
	}

	private readonly peersByKey = new Map<string, Peer>();

	private constructor(private readonly opts: Opts) {}

	/** Number of connections, those being opened included. */
	get size(): number {
		return this.peersByKey.size;
	}

	/** Sends a call to a node. A call that could not be sent is refused as not run. */
	async call(
		member: Member,
		{mode, request, signal, onStalled}: OutgoingCall,
	): Promise<CallOutcome> {
		const {clock} = this.opts;
		const endMs = clock.monotonic() + request.remainingMs;
		// A connection that did not answer a probe was closed; a new one may work at once.
		for (let attempt = 0; attempt < maxConnectAttempts; attempt++) {
			const peer = await this.connect(member);
			const remainingMs = endMs - clock.monotonic();
			const outcome = await peer?.call(mode, {...request, remainingMs}, signal, onStalled);
			if (outcome) {
				return outcome;
			}
		}

		return refusalOf(unreachable, runStates.notRun, request.allowance);
	}

	/** Sends a request to a node and waits for its reply; undefined when none arrived. */
	async request(member: Member, build: (id: number) => Message): Promise<Message | undefined> {
		for (let attempt = 0; attempt < maxConnectAttempts; attempt++) {
			const peer = await this.connect(member);
			if (await peer?.isResponsive()) {
				return peer?.request(build);
			}

			peer?.closeIfIdle();
			if (peer?.isOpen) {
				return undefined;
			}
		}

		return undefined;
	}

	/** Sends a message to a node without waiting for a reply. */
	async notify(member: Member, message: Message): Promise<void> {
		const peer = await this.connect(member);
		peer?.send(message);
	}

	private async connect(member: Member): Promise<Peer | undefined> {
		if (!this.opts.canReach(member.host, member.peerPort)) {
			return undefined;
		}

		const key = `${member.id}#${member.incarnation}`;
		const existing = this.peersByKey.get(key);
		if (existing && !existing.isSpent) {
			return (await existing.opened) ? existing : undefined;
		}

		const {clock, log, supervisor, self, budgets} = this.opts;
		const {id: node, dataCentre, incarnation} = self();
		const hello = {type: messageTypes.hello, node, dataCentre, incarnation};
		const peer = Peer.create({clock, log, member, hello, ...(budgets ? {budgets} : {})});
		this.peersByKey.set(key, peer);
		await supervisor.start({
			name: `peer ${key}`,
			restart: restartPolicies.never,
			task: async (signal, ready) => {
				try {
					await peer.run(signal, ready);
				} finally {
					if (this.peersByKey.get(key) === peer) {
						this.peersByKey.delete(key);
					}
				}
			},
		});
		return (await peer.opened) ? peer : undefined;
	}
}

const unreachable = Fault.of(
	faultKinds.unreachable,
	'The node beside the upstream cannot be reached',
	'Send the call again; it will go to another host',
);
