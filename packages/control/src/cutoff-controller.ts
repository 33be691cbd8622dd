import {apportion} from './apportion.js';
import {Cutoffs} from './cutoffs.js';

type Interval = {
	/** Length, in control windows of the admission. */
	readonly windows: number;
	/** Calls that passed the cutoffs, by rank. */
	readonly arrivals: readonly number[];
	readonly completions: number;
	/** Whether there was a standing queue, in which every granted call had waited long. */
	readonly isStanding: boolean;
	/** Most urgent rank of a call shed from the queue; infinite when none was. */
	readonly shedRank: number;
};

/** Weight of each interval in the smoothed arrivals and completions. */
const smoothingFactor = 0.2;
const raiseStepCohorts = 4;
const minCutoff = 1;

/**
 * Sets the cutoffs of one upstream after each interval. When calls were shed from the queue or
 * there is a standing queue, the smoothed completions are taken as the capacity and apportioned to
 * the ranks; otherwise every cutoff rises by a fixed step, which probes for recovered capacity.
 * Ranks more urgent than every shed call are not cut, and with a standing queue but no shed calls
 * neither is the most urgent rank that has demand, since those calls are still served in time.
 *
 * @example
 * const arrivals = [10, 90];
 * controller.close({windows: 1, arrivals, completions: 60, isStanding: true, shedRank: 1});
 */
export class CutoffController {
	/** Creates a controller that admits every call. */
	static create(floors: readonly number[]): CutoffController {
		return new CutoffController(floors, Cutoffs.open(floors.length));
	}

	private completions = 0;
	private demands: number[] = [];

	private constructor(
		private floors: readonly number[],
		private current: Cutoffs,
	) {}

	/** The cutoffs in force. */
	get cutoffs(): Cutoffs {
		return this.current;
	}

	/** Applies the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		if (floors.length !== this.floors.length) {
			this.current = Cutoffs.of(floors.map((_floor, rank) => this.current.at(rank)));
		}

		this.floors = floors;
	}

	/** Ends an interval and sets the cutoffs for the next one. */
	close({windows, arrivals, completions, isStanding, shedRank}: Interval): void {
		this.completions += (completions - this.completions) * smoothingFactor;
		this.demands = this.floors.map((_floor, rank) => {
			const known = this.demands[rank] ?? 0;
			return known + ((arrivals[rank] ?? 0) - known) * smoothingFactor;
		});
		if (!isStanding && shedRank === Number.POSITIVE_INFINITY) {
			this.current = this.current.raised(raiseStepCohorts * windows);
			return;
		}

		const grants = apportion(this.demands, this.completions, this.floors);
		const firstPresent = this.demands.findIndex(demand => demand > 0);
		const firstCut = Math.min(shedRank, isStanding ? firstPresent + 1 : Number.POSITIVE_INFINITY);
		const shares = this.demands.map((demand, rank) =>
			demand === 0 || rank < firstCut ? 1 : Math.min(1, grants[rank]! / demand),
		);
		this.current = Cutoffs.of(
			shares.map((share, rank) => Math.max(minCutoff, this.current.at(rank) * share)),
		);
		// The new cutoffs reduce the arrivals; without this the next interval would cut for them again.
		this.demands = this.demands.map((demand, rank) => demand * shares[rank]!);
	}
}
