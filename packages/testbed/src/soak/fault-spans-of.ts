import type {SoakRecord} from './soak-record.js';
import type {Step} from './step.js';

/** Kinds of step that may interrupt requests. Faults of the store must not interrupt any. */
const interruptingKinds = new Set<Step['kind']>([
	'link',
	'pause',
	'kill',
	'depart-and-kill',
	'crash-upstream',
	'silence-and-drain',
]);

/**
 * The time spans of the steps that may interrupt requests, in monotonic milliseconds.
 *
 * @example
 * const harm = faultSpansOf(steps, clock.monotonic());
 */
export const faultSpansOf = (steps: readonly Step[], startMs: number): SoakRecord['harm'] =>
	steps
		.filter(({kind}) => interruptingKinds.has(kind))
		.map(({atMs, forMs}) => ({fromMs: startMs + atMs, toMs: startMs + atMs + forMs}));
