/**
 * A call that was received over HTTP and validated, but has no rank yet.
 *
 * @example
 * const {result} = await router.handle(incoming, signal);
 */
export type IncomingCall = {
	readonly service: string;
	readonly job: string;
	readonly method: string;
	readonly path: string;
	/** Headers to forward, as alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly deadlineMs?: number;
	readonly rankHint?: string;
	readonly key?: string;
	/** Token of the call that the upstream was running when it made this call. */
	readonly context?: string;
	/** Whether the call came from the upstream on this host. */
	readonly isFromUpstream: boolean;
};
