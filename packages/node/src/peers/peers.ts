import {type Clock, type Log, Fault, faultKinds} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';
import {type Supervisor, restartPolicies} from '@medlarsaddle/supervise';
import {
	type CallOutcome,
	type CallRequest,
	type Message,
	type MessageOf,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import {Peer} from './peer.js';
import {refusalOf} from './refusals.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Runs one task for each connection. */
	readonly supervisor: Supervisor;
	readonly self: () => Member;
	/** Whether an address can be reached at all. */
	readonly reaches: (host: string, port: number) => boolean;
};

const maxConnects = 2;

/**
 * Connections to other nodes, opened as they are needed, one for each node.
 *
 * @example
 * const outcome = await peers.call(member, callModes.run, request, signal);
 */
export class Peers {
	/** Creates a set without connections. */
	static create(opts: Opts): Peers {
		return new Peers(opts);
	}

	private readonly open = new Map<string, Peer>();

	private constructor(private readonly opts: Opts) {}

	/** Connections that exist. */
	get size(): number {
		return this.open.size;
	}

	/** Sends a call to a node. A call that was not sent is refused as not run. */
	async call(
		member: Member,
		mode: MessageOf<'call'>['mode'],
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		// A connection that proved silent is closed; a new one may work at once.
		for (let attempt = 0; attempt < maxConnects; attempt++) {
			const peer = await this.connect(member);
			const outcome = await peer?.call(mode, request, signal);
			if (outcome) {
				return outcome;
			}
		}

		return refusalOf(unreachable, runStates.notRun, request.allowance);
	}

	/** Asks a node something; undefined when no reply came. */
	async ask(member: Member, build: (id: number) => Message): Promise<Message | undefined> {
		const peer = await this.connect(member);
		return peer?.ask(build);
	}

	/** Tells a node something without waiting for it to be heard. */
	async tell(member: Member, message: Message): Promise<void> {
		const peer = await this.connect(member);
		peer?.send(message);
	}

	private async connect(member: Member): Promise<Peer | undefined> {
		if (!this.opts.reaches(member.host, member.peerPort)) {
			return undefined;
		}

		const key = `${member.id}#${member.incarnation}`;
		const known = this.open.get(key);
		if (known) {
			return known.isOpen || (await known.opened) ? known : undefined;
		}

		const {clock, log, supervisor, self} = this.opts;
		const {id: node, dataCentre, incarnation} = self();
		const hello = {type: messageTypes.hello, node, dataCentre, incarnation};
		const peer = Peer.create({clock, log, member, hello});
		this.open.set(key, peer);
		await supervisor.start({
			name: `peer ${key}`,
			restart: restartPolicies.never,
			task: async (signal, ready) => {
				try {
					await peer.run(signal, ready);
				} finally {
					this.open.delete(key);
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
