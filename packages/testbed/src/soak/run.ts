/**
 * One call as an upstream saw it when it began to work on it.
 *
 * @example
 * const run: Run = {id: 'c1-7', instance: 'i-a-1', service: 'pay', target: '/pay/c1-7', body: '', atMs: 130};
 */
export type Run = {
	readonly id: string;
	readonly instance: string;
	readonly service: string;
	readonly target: string;
	readonly body: string;
	/** When it began, in monotonic milliseconds. */
	readonly atMs: number;
};
