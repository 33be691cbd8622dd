import {cohortCount} from './cohort-count.js';

/**
 * Admission cutoffs by rank: a call is admitted when its cohort is below the cutoff of its rank.
 * Cutoffs are returned on answers, so that the entry node can refuse what a service far downstream
 * would refuse.
 *
 * @example
 * Cutoffs.open(3).admits(0, 17); // true
 */
export class Cutoffs {
	/** Cutoffs that admit everything. */
	static open(rankCount: number): Cutoffs {
		return new Cutoffs(Array.from({length: rankCount}, () => cohortCount));
	}

	/** Cutoffs of the given values, one for each rank, most urgent first. */
	static of(values: readonly number[]): Cutoffs {
		return new Cutoffs(values.map(value => Math.min(cohortCount, Math.max(0, value))));
	}

	private constructor(readonly values: readonly number[]) {}

	/** Whether every call is admitted. */
	get isOpen(): boolean {
		return this.values.every(value => value >= cohortCount);
	}

	/**
	 * Whether a call of this rank and cohort is admitted. An unlisted rank counts as the last one.
	 */
	admits(rank: number, cohort: number): boolean {
		return cohort < this.at(rank);
	}

	/** The cutoff of a rank. */
	at(rank: number): number {
		return this.values[Math.min(rank, this.values.length - 1)] ?? cohortCount;
	}

	/** Whether some rank is cut further than any rank of `other`. */
	isStricterThan(other: Cutoffs): boolean {
		return Math.min(...this.values) < Math.min(...other.values);
	}

	/** The stricter of the two for each rank. */
	strictest(other: Cutoffs): Cutoffs {
		const length = Math.max(this.values.length, other.values.length);
		return new Cutoffs(
			Array.from({length}, (_value, rank) => Math.min(this.at(rank), other.at(rank))),
		);
	}

	/** Moves towards `other` by `share` of the distance. */
	interpolate(other: Cutoffs, share: number): Cutoffs {
		return new Cutoffs(this.values.map((value, rank) => value + (other.at(rank) - value) * share));
	}

	/** Raises each cutoff by `step` cohorts. */
	raised(step: number): Cutoffs {
		return Cutoffs.of(this.values.map(value => value + step));
	}
}
