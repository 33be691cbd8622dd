import * as hdr from 'hdr-histogram-js';
import {requestOutcomes} from '../callers/request-outcomes.js';
import type {RequestResult} from '../callers/request-result.js';

type Summary = {
	readonly sent: number;
	readonly good: number;
	readonly goodPerSecond: number;
	readonly goodShare: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly failed: number;
	readonly late: number;
	readonly wrong: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

const microsPerMs = 1000;

/**
 * Counts the outcomes of the requests that were due in a time window, with latency percentiles.
 *
 * @example
 * const urgent = summarize(shots.filter(shot => shot.rank === 'critical'), 2000, 8000);
 */
export const summarize = (
	shots: readonly RequestResult[],
	fromMs: number,
	toMs: number,
): Summary => {
	const window = shots.filter(({dueMs}) => dueMs >= fromMs && dueMs < toMs);
	const histogram = hdr.build({numberOfSignificantValueDigits: 3});
	const count = (outcome: RequestResult['outcome']) =>
		window.filter(shot => shot.outcome === outcome).length;
	for (const {outcome, tookMs} of window) {
		if (outcome === requestOutcomes.good) {
			histogram.recordValue(Math.round(tookMs * microsPerMs));
		}
	}

	const good = count(requestOutcomes.good);
	const percentile = (percent: number) =>
		round(histogram.getValueAtPercentile(percent) / microsPerMs);
	const summary = {
		sent: window.length,
		good,
		goodPerSecond: round((good * 1000) / (toMs - fromMs)),
		goodShare: round(good / Math.max(1, window.length), 5),
		notRun: count(requestOutcomes.notRun),
		unknown: count(requestOutcomes.unknown),
		failed: count(requestOutcomes.failed),
		late: count(requestOutcomes.late),
		wrong: count(requestOutcomes.wrong),
		p50Ms: percentile(50),
		p99Ms: percentile(99),
	};
	histogram.destroy();
	return summary;
};

const round = (value: number, digits = 2): number => Number(value.toFixed(digits));
