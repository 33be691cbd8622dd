import type {CallOutcome} from '@medlarsaddle/wire';

const gain = 0.1;
const maxServices = 50;

/** A service is named as what others wait for when it takes at least this share of their time. */
const leastShare = 0.5;

/**
 * Which service takes most of the time of the calls that an upstream runs: itself, or one that it
 * calls and whose slowness holds its slots.
 *
 * @example
 * bottleneck.note({service: 'pitch-map', ms: 900}, 1000);
 * bottleneck.place('reservation'); // 'reservation, waiting for pitch-map'
 */
export class Bottleneck {
	/** Creates one that has seen no calls. */
	static create(): Bottleneck {
		return new Bottleneck();
	}

	private readonly shares = new Map<string, number>();

	private constructor() {}

	/** Takes in the service that took the most time of a call, and the time of the whole call. */
	note(slowest: NonNullable<CallOutcome['slowest']>, totalMs: number): void {
		for (const [service, share] of this.shares) {
			this.shares.set(service, share * (1 - gain));
		}

		if (this.shares.has(slowest.service) || this.shares.size < maxServices) {
			const known = this.shares.get(slowest.service) ?? 0;
			const share = Math.min(1, slowest.ms / Math.max(1, totalMs));
			this.shares.set(slowest.service, known + share * gain);
		}
	}

	/** Names a service for a report, with what it waits for, if that is another one. */
	place(service: string): string {
		const [first] = [...this.shares].toSorted((a, b) => b[1] - a[1]);
		return first && first[0] !== service && first[1] >= leastShare
			? `${service}, waiting for ${first[0]}`
			: service;
	}
}
