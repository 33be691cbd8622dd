/**
 * A log event with a stable code. Once released, a code is never reused for another event.
 *
 * @example
 * const event: Event = events.nodeReady;
 */
export type Event = {
	readonly code: string;
	readonly level: 'debug' | 'info' | 'warn' | 'error';
	readonly text: string;
};
