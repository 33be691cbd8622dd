import type {Event} from './event.js';

/**
 * Writes one structured log line for an event, with optional fields.
 *
 * @example
 * log(events.nodeReady, {http: '127.0.0.1:8080'});
 */
export type Log = (event: Event, fields?: Readonly<Record<string, unknown>>) => void;
