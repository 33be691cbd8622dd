import type {Clock} from '@medlarsaddle/core';

const leaseMs = 15_000;

/** An upstream that renewed its announcement within this time needs no probe. */
const probeAfterMs = 3000;
const minFailedProbes = 3;

/**
 * Lease of an announced upstream, which it keeps by renewing its announcement or by answering
 * probes.
 *
 * @example
 * if (await lease.hasLapsed(async () => pool.isAnswering())) {
 * 	upstream.withdraw();
 * }
 */
export class UpstreamLease {
	/** Creates a lease that starts now. */
	static create(clock: Clock): UpstreamLease {
		return new UpstreamLease(clock);
	}

	private renewedMs: number;
	private failedProbes = 0;

	private constructor(private readonly clock: Clock) {
		this.renewedMs = clock.monotonic();
	}

	/** Renews the lease, on an announcement. */
	renew(): void {
		this.renewedMs = this.clock.monotonic();
		this.failedProbes = 0;
	}

	/** Whether the lease has lapsed. Probes the upstream if it has not renewed recently. */
	async hasLapsed(isAnswering: () => Promise<boolean>): Promise<boolean> {
		if (this.sinceRenewalMs < probeAfterMs) {
			return false;
		}

		if (await isAnswering()) {
			this.failedProbes = 0;
			return false;
		}

		this.failedProbes++;
		return this.failedProbes >= minFailedProbes && this.sinceRenewalMs > leaseMs;
	}

	private get sinceRenewalMs(): number {
		return this.clock.monotonic() - this.renewedMs;
	}
}
