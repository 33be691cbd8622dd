import {addCauses} from './add-causes.js';
import {Counts} from './counts.js';
import {History} from './history.js';
import {Latencies} from './latencies.js';
import {outcomeClasses} from './outcome-classes.js';

type Ended = {
	readonly service: string;
	readonly rank: string;
	readonly outcome: (typeof outcomeClasses)[keyof typeof outcomeClasses];
	/** Why it was not good. */
	readonly cause: string;
	/** Time to the whole answer; undefined when there was none. */
	readonly elapsedMs: number | undefined;
};

type Row = {
	readonly service: string;
	readonly rank: string;
	counts: Counts;
	readonly causes: Map<string, number>;
	latencies: Latencies;
};

const maxRows = 2000;

/**
 * Counts whole requests by service and rank until they are taken away to be rolled up.
 *
 * @example
 * tally.count({service: 'payment', rank: 'critical', outcome: 'good', cause: '', elapsedMs: 12});
 * const history = tally.take(clock.now());
 */
export class Tally {
	/** Creates an empty tally. */
	static create(): Tally {
		return new Tally();
	}

	private rows = new Map<string, Row>();

	private constructor() {}

	/** Counts one request. Requests of more services than fit are not counted. */
	count({service, rank, outcome, cause, elapsedMs}: Ended): void {
		const key = `${service}\u0000${rank}`;
		let row = this.rows.get(key);
		if (!row) {
			if (this.rows.size >= maxRows) {
				return;
			}

			row = {service, rank, counts: Counts.none, causes: new Map(), latencies: Latencies.none};
			this.rows.set(key, row);
		}

		row.counts = row.counts.plus(Counts.one(outcome));
		if (outcome !== outcomeClasses.good) {
			addCauses(row.causes, [[cause, 1]]);
		}

		if (elapsedMs !== undefined) {
			row.latencies = row.latencies.with(elapsedMs);
		}
	}

	/** Returns what was counted since the last time, and starts anew. */
	take(nowMs: number): History {
		const rows = [...this.rows.values()];
		this.rows = new Map();
		return History.from(
			rows.map(row => ({...row, causes: [...row.causes]})),
			nowMs,
		);
	}
}
