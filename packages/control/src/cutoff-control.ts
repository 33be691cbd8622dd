import {apportion} from './apportion.js';
import {Cutoffs} from './cutoffs.js';

type Window = {
	/** Calls that arrived in each rank and passed the cutoffs. */
	readonly arrivals: readonly number[];
	readonly completions: number;
	/** Whether calls waited beyond the target or were shed from the queue. */
	readonly pressed: boolean;
};

/** Share of each window in the smoothed arrivals and completions. */
const smoothing = 0.2;
const raiseStep = 4;
const minCutoff = 1;

/**
 * Sets the cutoffs of one upstream, window by window. While pressed, the smoothed completions are
 * the capacity, apportioned to the ranks; otherwise every cutoff rises by a fixed step, which
 * probes for capacity that has come back.
 *
 * @example
 * control.close({arrivals: [10, 90], completions: 60, pressed: true});
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

	/** Ends a window and sets the cutoffs for the next. */
	close({arrivals, completions, pressed}: Window): void {
		this.completions += (completions - this.completions) * smoothing;
		this.demands = this.floors.map((_floor, rank) => {
			const known = this.demands[rank] ?? 0;
			return known + ((arrivals[rank] ?? 0) - known) * smoothing;
		});
		if (!pressed) {
			this.current = this.current.raised(raiseStep);
			return;
		}

		const grants = apportion(this.demands, this.completions, this.floors);
		const shares = this.demands.map((demand, rank) =>
			demand === 0 ? 1 : Math.min(1, grants[rank]! / demand),
		);
		this.current = Cutoffs.of(
			shares.map((share, rank) => Math.max(minCutoff, this.current.at(rank) * share)),
		);
		// Less will arrive from now on; without this the next window would cut for it again.
		this.demands = this.demands.map((demand, rank) => demand * shares[rank]!);
	}
}
