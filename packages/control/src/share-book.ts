import type {Clock} from '@medlarsaddle/core';

type Entry = {
	readonly share: number;
	/** When the upstream's node said so, in monotonic milliseconds. */
	readonly atMs: number;
};

/** What was heard longer ago counts for nothing: a service that is not heard of is not held back. */
const validMs = 2000;

/** Weight of one node's word against what is known of its service, which has several nodes. */
const gain = 0.4;
const maxServices = 1000;

/**
 * What share of the work wanted each service can take, as heard from its nodes directly or passed on
 * by others. The fresher word counts.
 *
 * @example
 * book.hear('rules', 0.7);
 * book.shareOf('rules'); // 0.7
 */
export class ShareBook {
	/** Creates an empty book. */
	static create(clock: Clock): ShareBook {
		return new ShareBook(clock);
	}

	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly clock: Clock) {}

	/** Share that a service can take; 1 when nothing was heard lately. */
	shareOf(service: string): number {
		const entry = this.entries.get(service);
		return entry && this.clock.monotonic() - entry.atMs < validMs ? entry.share : 1;
	}

	/** Takes in what one node of a service says of itself. */
	hear(service: string, share: number): void {
		const nowMs = this.clock.monotonic();
		const known = this.shareOf(service);
		if (this.entries.has(service) || this.entries.size < maxServices) {
			this.entries.set(service, {share: known + (share - known) * gain, atMs: nowMs});
		}
	}

	/** Takes in what another node knows of services, each with its age in milliseconds. */
	merge(heard: ReadonlyArray<readonly [service: string, share: number, ageMs: number]>): void {
		const nowMs = this.clock.monotonic();
		for (const [service, share, ageMs] of heard) {
			const atMs = nowMs - ageMs;
			const known = this.entries.get(service);
			if (ageMs < validMs && (!known || known.atMs < atMs)) {
				this.entries.set(service, {share, atMs});
			}
		}
	}

	/** What is known of the services named, to be passed on; services that take all are left out. */
	tell(services: Iterable<string>): Array<[service: string, share: number, ageMs: number]> {
		const nowMs = this.clock.monotonic();
		const told: Array<[string, number, number]> = [];
		for (const service of services) {
			const entry = this.entries.get(service);
			const ageMs = entry ? nowMs - entry.atMs : validMs;
			if (entry && ageMs < validMs) {
				told.push([service, Math.round(entry.share * 1000) / 1000, Math.round(ageMs)]);
			}
		}

		return told;
	}
}
