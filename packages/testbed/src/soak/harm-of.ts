import type {SoakRecord} from './soak-record.js';
import type {Step} from './step.js';

/** Kinds of step that excuse a request that was cut. Trouble of the store excuses nothing. */
const harmful = new Set<Step['kind']>(['link', 'pause', 'kill', 'crash-upstream']);

/**
 * The spans in which steps harm the system, in monotonic milliseconds.
 *
 * @example
 * const harm = harmOf(steps, clock.monotonic());
 */
export const harmOf = (steps: readonly Step[], beganMs: number): SoakRecord['harm'] =>
	steps
		.filter(({kind}) => harmful.has(kind))
		.map(({atMs, forMs}) => ({fromMs: beganMs + atMs, toMs: beganMs + atMs + forMs}));
