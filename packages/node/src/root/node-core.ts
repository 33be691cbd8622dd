import type {Clock, Fault, Log, Random} from '@medlarsaddle/core';
import type {Address, Member} from '@medlarsaddle/members';
import type {RouteTable, Section} from '@medlarsaddle/policy';
import type {CallOutcome} from '@medlarsaddle/wire';
import type {z} from 'zod';
import type {IncomingRequest} from '../calls/incoming-request.js';
import type {announcement} from '../upstream/announcement.js';
import type {Settings} from '../settings/settings.js';

/**
 * What a node offers to parts that are attached to it, such as an adapter to a platform.
 *
 * @example
 * const outcome = await core.forward(arrival, signal);
 */
export type NodeCore = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** This node's own record. */
	readonly self: () => Member;
	/** Members of the group that are up, this node included. */
	readonly members: () => readonly Member[];
	/** Routes in force; undefined until some were taken. */
	readonly routes: () => RouteTable | undefined;
	/** Version in force of a policy section; 0 when there is none. */
	readonly versionOf: (section: string) => number;
	/** Puts a section in force if it is newer. */
	readonly takeSection: (section: Section, source: string) => boolean;
	/** Calls back after each section that comes into force, until the signal aborts. */
	readonly onSection: (listener: (section: Section) => void, signal: AbortSignal) => void;
	/** Forwards a request by the routes in force. */
	readonly forward: (arrival: IncomingRequest, signal: AbortSignal) => Promise<CallOutcome>;
	/** Takes up what the upstream on this host says of itself. */
	readonly announceUpstream: (announced: z.infer<typeof announcement>) => void;
	/** What the upstream announced last; undefined when there is none. */
	readonly announcedUpstream: () => z.infer<typeof announcement> | undefined;
	/** Takes the upstream on this host for gone. */
	readonly withdrawUpstream: () => void;
	/** Makes this node known to nodes at these addresses. */
	readonly greet: (addresses: readonly Address[]) => void;
	/** Whether this node is among the `count` members that have a role. */
	readonly isChosen: (role: string, count: number) => boolean;
	/** Whether callers should choose this node. */
	readonly isReady: () => boolean;
	/** Why no new work is taken; undefined when it is. */
	readonly closedBy: () => Fault | undefined;
	/** Counts a call to the platform's store. */
	readonly countStoreCall: (kind: string) => void;
	/** Notes whether a call to the platform's store was answered. */
	readonly noteStore: (isAnswered: boolean, error?: string) => void;
};
