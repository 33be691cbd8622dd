import type {SoakRecord} from './soak-record.js';
import type {Step} from './step.js';

/** Time in which a daemon that was killed is up again, in milliseconds. */
const restartMs = 3000;

/**
 * The time spans in which the steps may leave callers of a host without any answer: its daemon stands
 * still or is gone, or its connections to callers fail. Nothing else excuses an answer that does not
 * come; also a call that fails below ends with an answer.
 *
 * @example
 * const stalls = stallSpansOf(steps, clock.monotonic(), ['h1', 'h2']);
 */
export const stallSpansOf = (
	steps: readonly Step[],
	startMs: number,
	hosts: readonly string[],
): SoakRecord['stalls'] =>
	steps.flatMap(step => {
		if (!('host' in step) || !stallsCallers(step)) {
			return [];
		}

		const fromMs = startMs + step.atMs;
		return [{host: hosts[step.host]!, fromMs, toMs: fromMs + step.forMs + restartMs}];
	});

const stallingKinds = new Set<Step['kind']>(['pause', 'kill', 'depart-and-kill', 'stop']);

const stallsCallers = (step: Step): boolean =>
	stallingKinds.has(step.kind) || (step.kind === 'link' && step.link === 'callers');
