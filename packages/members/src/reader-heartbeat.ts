/**
 * What a node that reads the platform's store for its data centre tells the other nodes there.
 *
 * @example
 * const heartbeat: ReaderHeartbeat = {hasContact: true, isHolder: true};
 */
export type ReaderHeartbeat = {
	/** Whether the store has answered the latest call of the sender. */
	readonly hasContact: boolean;
	/** Whether the sender has the role of a reader; otherwise it stands in for those that have it. */
	readonly isHolder: boolean;
};
