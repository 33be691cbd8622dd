import {EventEmitter} from 'node:events';
import {addressOf} from './address-of.js';
import type {Datagram} from './datagram.js';
import type {DatagramSender} from './datagram-sender.js';
import {datagramTypes} from './datagram-types.js';
import type {Member} from './member.js';
import type {Membership} from './membership.js';
import type {ReaderHeartbeat} from './reader-heartbeat.js';
import type {Roles} from './roles.js';
import type {Rumor} from './rumor.js';
import type {StoreRole} from './store-role.js';

type Opts = {
	readonly membership: Membership;
	readonly roles: Roles;
	readonly datagramSender: DatagramSender;
};

type Listener = (heartbeat: ReaderHeartbeat, from: Member) => void;

/**
 * Heartbeats of the members that read the platform's store. Each goes straight to all members of the
 * sender's data centre, so that it does not depend on others to pass it on.
 *
 * @example
 * heartbeats.send(reader, {hasContact: true, isHolder: true}, rumors);
 */
export class ReaderHeartbeats {
	/** Creates the heartbeats of a member that has neither sent nor received any. */
	static create(opts: Opts): ReaderHeartbeats {
		return new ReaderHeartbeats(opts);
	}

	private readonly received = new EventEmitter<{heartbeat: Parameters<Listener>}>();

	private constructor(private readonly opts: Opts) {}

	/**
	 * Sends a heartbeat, with rumors of what the sender holds. One without contact also goes to the
	 * holders of the role in other data centres, which may have lost the store without knowing it.
	 */
	send(role: StoreRole, heartbeat: ReaderHeartbeat, rumors: readonly Rumor[]): void {
		const {membership, roles, datagramSender} = this.opts;
		const {self, table} = membership;
		const holders = new Set(heartbeat.hasContact ? [] : roles.storeRoleHolders(role));
		const receivers = table.alive.filter(
			({id, dataCentre}) => id !== self.id && (dataCentre === self.dataCentre || holders.has(id)),
		);
		for (const member of receivers) {
			datagramSender.send(addressOf(member), datagramTypes.readerHeartbeat, rumors, {
				reader: heartbeat,
			});
		}
	}

	/** Passes a received heartbeat on to the listeners. */
	receive({reader}: Datagram, from: Member | undefined): void {
		if (reader && from) {
			this.received.emit('heartbeat', reader, from);
		}
	}

	/** Calls the listener with each heartbeat of another member, until the signal aborts. */
	onHeartbeat(listener: Listener, signal: AbortSignal): void {
		this.received.on('heartbeat', listener);
		signal.addEventListener('abort', () => this.received.off('heartbeat', listener));
	}
}
