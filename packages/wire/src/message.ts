import type {Answer} from './answer.js';
import type {CallOutcome} from './call-outcome.js';
import type {CallRequest} from './call-request.js';
import type {callModes} from './call-modes.js';
import type {endReasons} from './end-reasons.js';
import type {messageTypes as types} from './message-types.js';

type Hello = {
	readonly type: typeof types.hello;
	readonly node: string;
	readonly dataCentre: string;
	readonly incarnation: number;
};

type Call = {
	readonly type: typeof types.call;
	readonly id: number;
	readonly mode: (typeof callModes)[keyof typeof callModes];
	readonly request: CallRequest;
	/** Whether the calling node takes `stalled`; absent from nodes of earlier versions. */
	readonly takesStalled?: boolean;
};

type Outcome = {
	readonly type: typeof types.outcome;
	readonly id: number;
	readonly outcome: CallOutcome;
};

/**
 * Reports that nothing shows whether the upstream has received a call. The call goes on, and its
 * outcome still comes.
 */
type Stalled = {
	readonly type: typeof types.stalled;
	readonly id: number;
	/** Retries that the call held and returns. */
	readonly unspent: number;
};

type Cancel = {
	readonly type: typeof types.cancel;
	readonly id: number;
	/** Why the calling node ends the call; absent from nodes of earlier versions. */
	readonly reason?: (typeof endReasons)[keyof typeof endReasons];
};

type Probe = {
	readonly type: typeof types.probe;
	readonly id: number;
};

type Probed = {
	readonly type: typeof types.probed;
	readonly id: number;
};

/**
 * Requests the policy sections that are newer than the given versions and, if wanted, the members.
 */
type Sync = {
	readonly type: typeof types.sync;
	readonly id: number;
	readonly versions: Readonly<Record<string, number>>;
	readonly wantsMembers: boolean;
};

type Synced = {
	readonly type: typeof types.synced;
	readonly id: number;
	readonly sections: readonly unknown[];
	readonly members: readonly unknown[];
};

/** Sends the answer of a call with an idempotency key to a member that keeps a copy of it. */
type KeyDone = {
	readonly type: typeof types.keyDone;
	readonly key: string;
	readonly fingerprint: string;
	readonly answer: Answer;
};

/** Asks for the copy of the answer that the receiver keeps for an idempotency key. */
type KeyQuery = {
	readonly type: typeof types.keyQuery;
	readonly id: number;
	readonly key: string;
	readonly fingerprint: string;
};

type KeyQueryReply = {
	readonly type: typeof types.keyQueryReply;
	readonly id: number;
	readonly answer?: Answer;
};

/**
 * Asks in how many members of the receiver's data centre a version of a policy section is in force.
 */
type Count = {
	readonly type: typeof types.count;
	readonly id: number;
	readonly section: string;
	readonly version: number;
	/**
	 * Set when the receiver is the collector of the version, so that it does not forward the query.
	 */
	readonly isForCollector: boolean;
};

type Counted = {
	readonly type: typeof types.counted;
	readonly id: number;
	readonly held: number;
	readonly members: number;
};

/** Hands the idempotency keys of a stopping node over to the receiver, in one or more messages. */
type Inherit = {
	readonly type: typeof types.inherit;
	readonly id: number;
	readonly records: ReadonlyArray<{
		readonly key: string;
		readonly fingerprint: string;
		readonly atMs: number;
		readonly answer?: CallOutcome;
	}>;
	/**
	 * The issuing processes whose keys are handed over. Set in the last message only; from then on
	 * the receiver acts as the issuer of these keys.
	 */
	readonly estates?: ReadonlyArray<{
		readonly node: string;
		readonly incarnation: number;
		readonly secret: string;
	}>;
};

type Inherited = {
	readonly type: typeof types.inherited;
	readonly id: number;
};

/**
 * A batch of report counts, sent to the member that collects a shard of them for the data centre.
 */
type RollUp = {
	readonly type: typeof types.rollUp;
	readonly id: number;
	/**
	 * The sending process. Its sequence only increases; a resent batch keeps its number, so it counts
	 * once.
	 */
	readonly from: string;
	readonly sequence: number;
	readonly shard: number;
	readonly rows: readonly unknown[];
};

type RolledUp = {
	readonly type: typeof types.rolledUp;
	readonly id: number;
};

/** Starts or stops draining the receiver. */
type Drain = {
	readonly type: typeof types.drain;
	readonly id: number;
	readonly draining: boolean;
};

type Drained = {
	readonly type: typeof types.drained;
	readonly id: number;
};

/**
 * Any message on a stream between nodes.
 *
 * @example
 * link.send({type: messageTypes.cancel, id});
 */
export type Message =
	| Hello
	| Call
	| Outcome
	| Stalled
	| Cancel
	| Probe
	| Probed
	| Sync
	| Synced
	| KeyDone
	| KeyQuery
	| KeyQueryReply
	| Count
	| Counted
	| Inherit
	| Inherited
	| RollUp
	| RolledUp
	| Drain
	| Drained;
