import {outcomeClasses} from './outcome-classes.js';

type OutcomeClass = (typeof outcomeClasses)[keyof typeof outcomeClasses];

/**
 * Requests by outcome.
 *
 * @example
 * const counts = Counts.none.plus(Counts.one('good'));
 */
export class Counts {
	/** No request at all. */
	static readonly none = new Counts([0, 0, 0, 0, 0]);

	/** One request of an outcome. */
	static one(outcome: OutcomeClass): Counts {
		return new Counts(order.map(name => (name === outcome ? 1 : 0)));
	}

	/** Counts in the order of `outcomeClasses`; what is not a number counts as 0. */
	static of(values: readonly unknown[]): Counts {
		return new Counts(order.map((_name, index) => numberOf(values[index])));
	}

	private constructor(
		/** In the order of `outcomeClasses`. */
		readonly values: readonly number[],
	) {}

	/** Requests of one outcome. */
	get(outcome: OutcomeClass): number {
		return this.values[order.indexOf(outcome)]!;
	}

	/** All requests. */
	get total(): number {
		return this.values.reduce((sum, value) => sum + value, 0);
	}

	/** The sum of both. */
	plus(other: Counts): Counts {
		return new Counts(this.values.map((value, index) => value + other.values[index]!));
	}
}

const order = Object.values(outcomeClasses);

const numberOf = (value: unknown): number =>
	typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0;
