type Weighted = {
	readonly service: string;
	readonly weight: number;
};

/**
 * Takes turns among targets in the proportion of their weights. Each target earns its weight with
 * every turn and the one that has earned most pays for the turn, so that shares are exact after a
 * few turns, where a random choice would need hundreds.
 *
 * @example
 * const turns = WeightedTurns.create();
 * turns.next([{service: 'a', weight: 90}, {service: 'b', weight: 10}]); // 'a'
 */
export class WeightedTurns {
	/** Creates turns of which none has been taken. */
	static create(): WeightedTurns {
		return new WeightedTurns();
	}

	private earned = new Map<string, number>();

	private constructor() {}

	/** The service whose turn it is; undefined when no target has a weight. */
	next(targets: readonly Weighted[]): string | undefined {
		const total = targets.reduce((sum, {weight}) => sum + weight, 0);
		let chosen: string | undefined;
		let most = Number.NEGATIVE_INFINITY;
		const earned = new Map<string, number>();
		for (const {service, weight} of targets) {
			const sum = (this.earned.get(service) ?? 0) + weight;
			earned.set(service, sum);
			if (weight > 0 && sum > most) {
				most = sum;
				chosen = service;
			}
		}

		if (chosen !== undefined) {
			earned.set(chosen, most - total);
		}

		// Targets that are listed no more are forgotten with the old table.
		this.earned = earned;
		return chosen;
	}
}
