import {addCauses} from './add-causes.js';
import {OutcomeCounts} from './outcome-counts.js';
import {OutcomeHistory} from './outcome-history.js';
import {LatencyHistogram} from './latency-histogram.js';
import {outcomeClasses} from './outcome-classes.js';

type CompletedRequest = {
	readonly service: string;
	readonly rank: string;
	readonly outcome: (typeof outcomeClasses)[keyof typeof outcomeClasses];
	/** Why the outcome is not `good`. */
	readonly cause: string;
	/** Time to the complete answer; undefined if there was none. */
	readonly elapsedMs: number | undefined;
};

type Row = {
	readonly service: string;
	readonly rank: string;
	counts: OutcomeCounts;
	readonly causes: Map<string, number>;
	latencies: LatencyHistogram;
};

const maxRows = 2000;

/**
 * Counts whole requests by service and rank between two roll-ups.
 *
 * @example
 * tally.count({service: 'payment', rank: 'critical', outcome: 'good', cause: '', elapsedMs: 12});
 * const history = tally.flush(clock.now());
 */
export class Tally {
	/** Creates an empty tally. */
	static create(): Tally {
		return new Tally();
	}

	private rows = new Map<string, Row>();

	private constructor() {}

	/**
	 * Counts one request. Once the limit of rows is reached, requests of new services are not
	 * counted.
	 */
	count({service, rank, outcome, cause, elapsedMs}: CompletedRequest): void {
		const key = `${service}\u0000${rank}`;
		let row = this.rows.get(key);
		if (!row) {
			if (this.rows.size >= maxRows) {
				return;
			}

			row = {
				service,
				rank,
				counts: OutcomeCounts.empty,
				causes: new Map(),
				latencies: LatencyHistogram.empty,
			};
			this.rows.set(key, row);
		}

		row.counts = row.counts.plus(OutcomeCounts.one(outcome));
		if (outcome !== outcomeClasses.good) {
			addCauses(row.causes, [[cause, 1]]);
		}

		if (elapsedMs !== undefined) {
			row.latencies = row.latencies.with(elapsedMs);
		}
	}

	/** Returns the counts since the last flush and resets them. */
	flush(nowMs: number): OutcomeHistory {
		const rows = [...this.rows.values()];
		this.rows = new Map();
		return OutcomeHistory.from(
			rows.map(row => ({...row, causes: [...row.causes]})),
			nowMs,
		);
	}
}
