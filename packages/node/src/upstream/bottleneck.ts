import type {CallOutcome} from '@medlarsaddle/wire';

const smoothingFactor = 0.1;
const maxServices = 50;

/** Minimum share of the total time that a downstream service takes to be reported as bottleneck. */
const minShare = 0.5;

type ServiceTime = NonNullable<CallOutcome['slowest']>;

/**
 * Finds the service that takes most of the time for which calls occupy the slots of an upstream:
 * the upstream itself, or a slow service downstream. Time spent waiting for a slot is not counted,
 * since it is only a consequence of slots being occupied.
 *
 * @example
 * bottleneck.record([{service: 'reservation', ms: 100}, {service: 'pitch-map', ms: 900}]);
 * bottleneck.describe('reservation'); // 'reservation, waiting for pitch-map'
 */
export class Bottleneck {
	/** Creates a bottleneck detector with no calls recorded. */
	static create(): Bottleneck {
		return new Bottleneck();
	}

	private readonly times = new Map<string, number>();

	private constructor() {}

	/** Records the times of a call: the upstream's own work and the slowest downstream service. */
	record(serviceTimes: readonly ServiceTime[]): void {
		for (const [service, ms] of this.times) {
			this.times.set(service, ms * (1 - smoothingFactor));
		}

		for (const {service, ms} of serviceTimes) {
			if (this.times.has(service) || this.times.size < maxServices) {
				this.times.set(service, (this.times.get(service) ?? 0) + ms * smoothingFactor);
			}
		}
	}

	/** Returns the name of a service for a report, followed by the service it waits for, if any. */
	describe(service: string): string {
		const times = [...this.times].toSorted((a, b) => b[1] - a[1]);
		const total = times.reduce((sum, [, ms]) => sum + ms, 0);
		const [first] = times;
		return first && first[0] !== service && first[1] >= total * minShare
			? `${service}, waiting for ${first[0]}`
			: service;
	}
}
