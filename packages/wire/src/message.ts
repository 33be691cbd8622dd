import type {Answer} from './answer.js';
import type {CallOutcome} from './call-outcome.js';
import type {CallRequest} from './call-request.js';
import type {callModes} from './call-modes.js';
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
};

type Outcome = {
	readonly type: typeof types.outcome;
	readonly id: number;
	readonly outcome: CallOutcome;
};

type Cancel = {
	readonly type: typeof types.cancel;
	readonly id: number;
};

type Probe = {
	readonly type: typeof types.probe;
	readonly id: number;
};

type Probed = {
	readonly type: typeof types.probed;
	readonly id: number;
};

/** Asks for what the receiver holds that is newer than the versions given. */
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

type KeyDone = {
	readonly type: typeof types.keyDone;
	readonly key: string;
	readonly fingerprint: string;
	readonly answer: Answer;
};

type KeyAsk = {
	readonly type: typeof types.keyAsk;
	readonly id: number;
	readonly key: string;
	readonly fingerprint: string;
};

type KeyTold = {
	readonly type: typeof types.keyTold;
	readonly id: number;
	readonly answer?: Answer;
};

/** Asks in how many members of the receiver's data centre a section version is in force. */
type Count = {
	readonly type: typeof types.count;
	readonly id: number;
	readonly section: string;
	readonly version: number;
	/** Set when the receiver is the member that collects, so that it does not ask on. */
	readonly isForCollector: boolean;
};

type Counted = {
	readonly type: typeof types.counted;
	readonly id: number;
	readonly held: number;
	readonly members: number;
};

/** Hands the keys of a node that stops over, in several messages if need be. */
type Inherit = {
	readonly type: typeof types.inherit;
	readonly id: number;
	readonly records: ReadonlyArray<{
		readonly key: string;
		readonly fingerprint: string;
		readonly atMs: number;
		readonly answer?: CallOutcome;
	}>;
	/** Set in the last message only: from then on the receiver is the issuer. */
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

/** Counts of the sender, for the member that collects them in its data centre. */
type RollUp = {
	readonly type: typeof types.rollUp;
	readonly id: number;
	/** The sending process; its sequence only rises, and a batch that is sent again keeps its own. */
	readonly from: string;
	readonly sequence: number;
	readonly shard: number;
	readonly rows: readonly unknown[];
};

type RolledUp = {
	readonly type: typeof types.rolledUp;
	readonly id: number;
};

/** Starts or ends draining of the receiver. */
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
	| Cancel
	| Probe
	| Probed
	| Sync
	| Synced
	| KeyDone
	| KeyAsk
	| KeyTold
	| Count
	| Counted
	| Inherit
	| Inherited
	| RollUp
	| RolledUp
	| Drain
	| Drained;
