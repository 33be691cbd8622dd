/**
 * One request and its result, as recorded by its caller.
 *
 * @example
 * const request = {id: 'c1-7', host: 'h1', life: 2, target: '/look/c1-7', body: '', isIdempotent: true};
 * const sent: SentRequest = {...request, sentMs: 120, endMs: 140};
 */
export type SentRequest = {
	/** ID of the attempt. */
	readonly id: string;
	/** Host whose node received it. */
	readonly host: string;
	/** Number of the daemon process on that host that received it, counted from 1. */
	readonly life: number;
	readonly target: string;
	readonly body: string;
	readonly isIdempotent: boolean;
	/** Time of sending, in monotonic milliseconds. */
	readonly sentMs: number;
	/** Time of its answer or failure, in monotonic milliseconds. */
	readonly endMs: number;
	/** Status of its answer; undefined when the connection ended or the request timed out. */
	readonly status?: number;
	/** Error of a request without an answer. */
	readonly error?: string;
	/** Whether the caller aborted the request after its timeout. */
	readonly gaveUp?: boolean;
	/** Time that the caller gave the request, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether the caller closed the connection, because the call above was given up. */
	readonly hasLeft?: boolean;
	/** Headers and body of the answer; undefined when there is none. */
	readonly answer?: {
		readonly id: string | undefined;
		readonly seal: string | undefined;
		readonly body: string;
	};
};
