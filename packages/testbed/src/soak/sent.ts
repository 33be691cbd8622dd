/**
 * One request as its caller saw it.
 *
 * @example
 * const sent: Sent = {id: 'c1-7', host: 'h1', life: 2, target: '/pay/c1-7', body: 'x', isIdempotent: false, sentMs: 120};
 */
export type Sent = {
	/** ID of the try. */
	readonly id: string;
	/** Host whose node took it. */
	readonly host: string;
	/** Which process of that host took it, counted from 1. */
	readonly life: number;
	readonly target: string;
	readonly body: string;
	readonly isIdempotent: boolean;
	/** When it was sent, in monotonic milliseconds. */
	readonly sentMs: number;
	/** When its end came. */
	readonly endMs: number;
	/** Status of its answer; undefined when the connection ended or the caller gave up. */
	readonly status?: number;
	/** Why there is no answer. */
	readonly error?: string;
	/** Whether the caller itself gave up. */
	readonly gaveUp?: boolean;
	/** What an answer with status 200 had in its headers and body. */
	readonly answer?: {
		readonly id: string | undefined;
		readonly seal: string | undefined;
		readonly body: string;
	};
};
