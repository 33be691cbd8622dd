import type {Clock} from '@medlarsaddle/core';

type Entry = {
	readonly share: number;
	/** When the upstream's node reported the share, in monotonic milliseconds. */
	readonly reportedMs: number;
};

/** Older reports are ignored, so a service without recent reports is not throttled. */
const reportValidMs = 2000;

/** Weight of one node's report in the smoothed share of its service, which has several nodes. */
const smoothingFactor = 0.4;
const maxServices = 1000;

/**
 * The share of the offered work that each service can serve, as reported by its nodes directly or
 * forwarded by other nodes. A forwarded report is used only if it is newer than the known one.
 *
 * @example
 * table.update('rules', 0.5);
 * table.shareOf('rules'); // 0.8, smoothed from 1
 */
export class ServableShareTable {
	/** Creates an empty table. */
	static create(clock: Clock): ServableShareTable {
		return new ServableShareTable(clock);
	}

	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly clock: Clock) {}

	/** Share that a service can serve; 1 without a recent report. */
	shareOf(service: string): number {
		const entry = this.entries.get(service);
		return entry && this.clock.monotonic() - entry.reportedMs < reportValidMs ? entry.share : 1;
	}

	/** Adds the share that one node of a service reports. */
	update(service: string, share: number): void {
		const nowMs = this.clock.monotonic();
		const known = this.shareOf(service);
		if (this.entries.has(service) || this.entries.size < maxServices) {
			this.entries.set(service, {
				share: known + (share - known) * smoothingFactor,
				reportedMs: nowMs,
			});
		}
	}

	/** Merges shares that another node forwards, each with its age in milliseconds. */
	merge(reports: ReadonlyArray<readonly [service: string, share: number, ageMs: number]>): void {
		const nowMs = this.clock.monotonic();
		for (const [service, share, ageMs] of reports) {
			const reportedMs = nowMs - ageMs;
			const known = this.entries.get(service);
			if (ageMs < reportValidMs && (!known || known.reportedMs < reportedMs)) {
				this.entries.set(service, {share, reportedMs});
			}
		}
	}

	/**
	 * Recent shares of the given services, to be forwarded; services without a recent report are left
	 * out.
	 */
	recent(services: Iterable<string>): Array<[service: string, share: number, ageMs: number]> {
		const nowMs = this.clock.monotonic();
		const shares: Array<[string, number, number]> = [];
		for (const service of services) {
			const entry = this.entries.get(service);
			const ageMs = entry ? nowMs - entry.reportedMs : reportValidMs;
			if (entry && ageMs < reportValidMs) {
				shares.push([service, Math.round(entry.share * 1000) / 1000, Math.round(ageMs)]);
			}
		}

		return shares;
	}
}
