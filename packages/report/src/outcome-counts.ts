import {outcomeClasses} from './outcome-classes.js';

type OutcomeClass = (typeof outcomeClasses)[keyof typeof outcomeClasses];

/**
 * Numbers of requests by outcome class.
 *
 * @example
 * const counts = OutcomeCounts.empty.plus(OutcomeCounts.one('good'));
 */
export class OutcomeCounts {
	/** Counts without requests. */
	static readonly empty = new OutcomeCounts([0, 0, 0, 0, 0]);

	/** Counts of a single request. */
	static one(outcome: OutcomeClass): OutcomeCounts {
		return new OutcomeCounts(classOrder.map(name => (name === outcome ? 1 : 0)));
	}

	/** Reads counts in the order of `outcomeClasses`; a value that is not a valid count becomes 0. */
	static of(values: readonly unknown[]): OutcomeCounts {
		return new OutcomeCounts(classOrder.map((_name, index) => countOrZero(values[index])));
	}

	private constructor(
		/** In the order of `outcomeClasses`. */
		readonly values: readonly number[],
	) {}

	/** Number of requests with an outcome. */
	get(outcome: OutcomeClass): number {
		return this.values[classOrder.indexOf(outcome)]!;
	}

	/** Number of all requests. */
	get total(): number {
		return this.values.reduce((sum, value) => sum + value, 0);
	}

	/** Returns the sum of both counts. */
	plus(other: OutcomeCounts): OutcomeCounts {
		return new OutcomeCounts(this.values.map((value, index) => value + other.values[index]!));
	}
}

const classOrder = Object.values(outcomeClasses);

const countOrZero = (value: unknown): number =>
	typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0;
