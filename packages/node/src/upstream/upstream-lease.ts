import type {Clock} from '@medlarsaddle/core';

const leaseMs = 15_000;

/** An upstream that renewed its announcement this lately needs no probe. */
const renewalMs = 3000;
const unhealthyProbes = 3;

/**
 * Whether an upstream that announced itself is still there: it either renews its announcement or
 * answers probes.
 *
 * @example
 * if (await lease.hasLapsed(async () => pool.isAnswering())) {
 * 	slot.withdraw();
 * }
 */
export class UpstreamLease {
	/** Creates a lease that begins now. */
	static create(clock: Clock): UpstreamLease {
		return new UpstreamLease(clock);
	}

	private renewedMs: number;
	private failedProbes = 0;

	private constructor(private readonly clock: Clock) {
		this.renewedMs = clock.monotonic();
	}

	/** Notes an announcement. */
	renew(): void {
		this.renewedMs = this.clock.monotonic();
		this.failedProbes = 0;
	}

	/** Probes an upstream that has not renewed lately. */
	async hasLapsed(isAnswering: () => Promise<boolean>): Promise<boolean> {
		if (this.silentMs < renewalMs) {
			return false;
		}

		if (await isAnswering()) {
			this.failedProbes = 0;
			return false;
		}

		this.failedProbes++;
		return this.failedProbes >= unhealthyProbes && this.silentMs > leaseMs;
	}

	private get silentMs(): number {
		return this.clock.monotonic() - this.renewedMs;
	}
}
