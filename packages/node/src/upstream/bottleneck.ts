import type {CallOutcome} from '@medlarsaddle/wire';

const gain = 0.1;
const maxServices = 50;

/** A service is named as what others wait for when it takes at least this share of their time. */
const leastShare = 0.5;

type Part = NonNullable<CallOutcome['slowest']>;

/**
 * Which service takes most of the time for which calls hold the places of an upstream: itself, or one
 * that it calls and whose slowness holds its slots. The wait for a place does not count, since it only
 * follows from that.
 *
 * @example
 * bottleneck.note([{service: 'reservation', ms: 100}, {service: 'pitch-map', ms: 900}]);
 * bottleneck.place('reservation'); // 'reservation, waiting for pitch-map'
 */
export class Bottleneck {
	/** Creates one that has seen no calls. */
	static create(): Bottleneck {
		return new Bottleneck();
	}

	private readonly times = new Map<string, number>();

	private constructor() {}

	/** Takes in the times of a call: the work of the upstream itself, and that of the slowest below. */
	note(parts: readonly Part[]): void {
		for (const [service, ms] of this.times) {
			this.times.set(service, ms * (1 - gain));
		}

		for (const {service, ms} of parts) {
			if (this.times.has(service) || this.times.size < maxServices) {
				this.times.set(service, (this.times.get(service) ?? 0) + ms * gain);
			}
		}
	}

	/** Names a service for a report, with what it waits for, if that is another one. */
	place(service: string): string {
		const times = [...this.times].toSorted((a, b) => b[1] - a[1]);
		const total = times.reduce((sum, [, ms]) => sum + ms, 0);
		const [first] = times;
		return first && first[0] !== service && first[1] >= total * leastShare
			? `${service}, waiting for ${first[0]}`
			: service;
	}
}
