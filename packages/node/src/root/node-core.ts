import type {ByteBudget} from '@medlarsaddle/control';
import type {Clock, Fault, Log, Random} from '@medlarsaddle/core';
import type {Address, Member, ReaderHeartbeat, StoreRole} from '@medlarsaddle/members';
import type {RouteTable, Section} from '@medlarsaddle/policy';
import type {CallOutcome} from '@medlarsaddle/wire';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import type {IncomingRequest} from '../calls/incoming-request.js';
import type {announcement} from '../upstream/announcement.js';
import type {Settings} from '../settings/settings.js';

/**
 * Interface of a node for the parts that are attached to it, such as an adapter to a platform.
 *
 * @example
 * const forwarded = await core.forward(incoming, signal);
 */
export type NodeCore = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** What bodies of callers may hold together. */
	readonly callerBudget: ByteBudget;
	/** Member record of this node. */
	readonly self: () => Member;
	/** Members of the group that are alive, this node included. */
	readonly members: () => readonly Member[];
	/** Routes in force; undefined before the first ones. */
	readonly routes: () => RouteTable | undefined;
	/** Version in force of a policy section; 0 when there is none. */
	readonly versionOf: (section: string) => number;
	/** Puts a section in force if it is newer than the held one; returns whether it did. */
	readonly applySection: (section: Section, source: string) => boolean;
	/** Calls the listener after each section that comes into force, until the signal aborts. */
	readonly onSection: (listener: (section: Section) => void, signal: AbortSignal) => void;
	/** Forwards a request by the routes in force; a fault when none of them takes it. */
	readonly forward: (
		incoming: IncomingRequest,
		signal: AbortSignal,
	) => Promise<Result<CallOutcome, Fault>>;
	/** Sets the announcement of the upstream on this host. */
	readonly announceUpstream: (announced: z.infer<typeof announcement>) => void;
	/** Latest announcement of the upstream on this host; undefined when there is none. */
	readonly announcedUpstream: () => z.infer<typeof announcement> | undefined;
	/** Marks the upstream on this host as gone. */
	readonly withdrawUpstream: () => void;
	/** Contacts the nodes at these addresses, so that they and this node learn of one another. */
	readonly join: (addresses: readonly Address[]) => void;
	/** Whether this node is one of the `count` members that have a role. */
	readonly hasRole: (role: string, count: number) => boolean;
	/**
	 * Whether this node is one of the members of its data centre that have a role at the platform's
	 * store; members that have lost the store are passed over.
	 */
	readonly hasStoreRole: (role: StoreRole) => boolean;
	/**
	 * Milliseconds until the turn of this node among the members of all data centres that have a role
	 * at the platform's store. `elapsedMs` is the time since an event that they have all seen; from
	 * then on one of them has its turn every `spacingMs`.
	 */
	readonly nextStoreTurn: (
		role: StoreRole,
		times: {readonly elapsedMs: number; readonly spacingMs: number},
	) => number;
	/** Sends a heartbeat of a reader of the platform's store, with the versions that are in force. */
	readonly sendReaderHeartbeat: (role: StoreRole, heartbeat: ReaderHeartbeat) => void;
	/** Calls the listener with each heartbeat of another reader, until the signal aborts. */
	readonly onReaderHeartbeat: (
		listener: (heartbeat: ReaderHeartbeat, from: Member) => void,
		signal: AbortSignal,
	) => void;
	/** Tells the other members whether the platform's store answers this node. */
	readonly announceStoreLost: (isLost: boolean) => void;
	/** Whether callers should send requests to this node. */
	readonly isReady: () => boolean;
	/** Fault with which new work is refused; undefined while it is accepted. */
	readonly drainingFault: () => Fault | undefined;
	/** Counts a call to the platform's store. */
	readonly countStoreCall: (kind: string) => void;
	/** Records whether a call to the platform's store was answered. */
	readonly recordStoreHealth: (isAnswered: boolean, error?: string) => void;
};
