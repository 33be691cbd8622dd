/**
 * One call as recorded by the upstream that started to execute it.
 *
 * @example
 * const run: UpstreamRun = {id: 'c1-7', instance: 'i-a-1', service: 'pay', target: '/pay/c1-7', body: '', atMs: 130};
 */
export type UpstreamRun = {
	readonly id: string;
	readonly instance: string;
	readonly service: string;
	readonly target: string;
	readonly body: string;
	/** Start of the execution, in monotonic milliseconds. */
	readonly atMs: number;
	/**
	 * When the node closed the connection of the call before its answer, in monotonic milliseconds; set
	 * later, and undefined if it did not.
	 */
	cutMs?: number;
};
