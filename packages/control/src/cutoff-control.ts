import {apportion} from './apportion.js';
import {Cutoffs} from './cutoffs.js';

type Interval = {
	/** Length, in windows of the admission. */
	readonly windows: number;
	/** Calls that arrived in each rank and passed the cutoffs. */
	readonly arrivals: readonly number[];
	readonly completions: number;
	/** Whether every call that waited did so for long. */
	readonly isStanding: boolean;
	/** Most urgent rank of a call that was shed from the queue; infinite when none was. */
	readonly shedRank: number;
};

/** Share of each interval in the smoothed arrivals and completions. */
const smoothing = 0.2;
const raiseStep = 4;
const minCutoff = 1;

/**
 * Sets the cutoffs of one upstream, interval by interval. When calls were shed from the
 * queue or it stands, the smoothed completions are the capacity, apportioned to the ranks; otherwise
 * every cutoff rises by a fixed step, which probes for capacity that has come back. Ranks more urgent
 * than any call that was shed are left as they are, and so is the most urgent rank of those present
 * while the queue only stands: they are still served in time.
 *
 * @example
 * control.close({windows: 1, arrivals: [10, 90], completions: 60, isStanding: true, shedRank: 1});
 */
export class CutoffControl {
	/** Creates a control that admits everything. */
	static create(floors: readonly number[]): CutoffControl {
		return new CutoffControl(floors, Cutoffs.open(floors.length));
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

	/** Takes up the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		if (floors.length !== this.floors.length) {
			this.current = Cutoffs.of(floors.map((_floor, rank) => this.current.at(rank)));
		}

		this.floors = floors;
	}

	/** Ends an interval and sets the cutoffs for the next. */
	close({windows, arrivals, completions, isStanding, shedRank}: Interval): void {
		this.completions += (completions - this.completions) * smoothing;
		this.demands = this.floors.map((_floor, rank) => {
			const known = this.demands[rank] ?? 0;
			return known + ((arrivals[rank] ?? 0) - known) * smoothing;
		});
		if (!isStanding && shedRank === Number.POSITIVE_INFINITY) {
			this.current = this.current.raised(raiseStep * windows);
			return;
		}

		const grants = apportion(this.demands, this.completions, this.floors);
		const present = this.demands.findIndex(demand => demand > 0);
		const firstCut = Math.min(shedRank, isStanding ? present + 1 : Number.POSITIVE_INFINITY);
		const shares = this.demands.map((demand, rank) =>
			demand === 0 || rank < firstCut ? 1 : Math.min(1, grants[rank]! / demand),
		);
		this.current = Cutoffs.of(
			shares.map((share, rank) => Math.max(minCutoff, this.current.at(rank) * share)),
		);
		// Less will arrive from now on; without this the next window would cut for it again.
		this.demands = this.demands.map((demand, rank) => demand * shares[rank]!);
	}
}
