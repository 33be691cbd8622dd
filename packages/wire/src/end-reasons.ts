/**
 * Why a call ends before its endpoint has answered. All but `deadline` are decisions of a node.
 *
 * @example
 * abort.abort(CallEnded.of(endReasons.linkLost));
 */
export const endReasons = {
	/** The caller closed its connection. */
	callerLeft: 'caller-left',
	/** The time of the call is up. */
	deadline: 'deadline',
	/** The connection to the node that sent the call ended. */
	linkLost: 'link-lost',
	/** The node beside the upstream stops. */
	nodeStopped: 'node-stopped',
	/** Another attempt of the call has answered. */
	superseded: 'superseded',
} as const;
