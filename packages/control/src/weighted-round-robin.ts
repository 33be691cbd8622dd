type Target = {
	readonly service: string;
	readonly weight: number;
};

/**
 * Smooth weighted round robin among targets. With every choice each target gains its weight as
 * credit, and the target with the most credit is chosen and loses the total weight. Shares are
 * exact after a few choices, where a random choice would need hundreds.
 *
 * @example
 * const roundRobin = WeightedRoundRobin.create();
 * roundRobin.next([{service: 'a', weight: 90}, {service: 'b', weight: 10}]); // 'a'
 */
export class WeightedRoundRobin {
	/** Creates a round robin in which no target has credit. */
	static create(): WeightedRoundRobin {
		return new WeightedRoundRobin();
	}

	private credits = new Map<string, number>();

	private constructor() {}

	/** Chooses the next service; undefined when no target has a weight. */
	next(targets: readonly Target[]): string | undefined {
		const total = targets.reduce((sum, {weight}) => sum + weight, 0);
		let chosen: string | undefined;
		let highestCredit = Number.NEGATIVE_INFINITY;
		const credits = new Map<string, number>();
		for (const {service, weight} of targets) {
			const credit = (this.credits.get(service) ?? 0) + weight;
			credits.set(service, credit);
			if (weight > 0 && credit > highestCredit) {
				highestCredit = credit;
				chosen = service;
			}
		}

		if (chosen !== undefined) {
			credits.set(chosen, highestCredit - total);
		}

		// Targets that are no longer listed are dropped with the old table.
		this.credits = credits;
		return chosen;
	}
}
