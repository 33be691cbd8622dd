import {requestOutcomes} from '../callers/request-outcomes.js';
import type {RequestResult} from '../callers/request-result.js';

type Opts = {
	readonly beforeFromMs: number;
	readonly beforeToMs: number;
	readonly triggerEndMs: number;
	readonly endMs: number;
};

const stepMs = 250;
const windowMs = 1000;
const recoveredShare = 0.95;

/**
 * Milliseconds from the end of a trigger until the share of good requests over one second is back
 * to 95% of its value before the trigger; -1 if it does not recover within the run.
 *
 * @example
 * const ms = recoveryTime(shots, {beforeFromMs: 1000, beforeToMs: 3000, triggerEndMs: 8000, endMs: 16000});
 */
export const recoveryTime = (shots: readonly RequestResult[], opts: Opts): number => {
	const goodShareBetween = (fromMs: number, toMs: number): number => {
		const window = shots.filter(({dueMs}) => dueMs >= fromMs && dueMs < toMs);
		const good = window.filter(({outcome}) => outcome === requestOutcomes.good).length;
		return good / Math.max(1, window.length);
	};

	const before = goodShareBetween(opts.beforeFromMs, opts.beforeToMs);
	for (let fromMs = opts.triggerEndMs; fromMs + windowMs <= opts.endMs; fromMs += stepMs) {
		if (goodShareBetween(fromMs, fromMs + windowMs) >= recoveredShare * before) {
			return fromMs - opts.triggerEndMs;
		}
	}

	return -1;
};
