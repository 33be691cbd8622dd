import {Cutoffs} from './cutoffs.js';

type Entry = {
	readonly cutoffs: Cutoffs;
	readonly updatedMs: number;
	/** The service that set the cutoffs. */
	readonly by?: string;
};

const smoothingFactor = 0.3;
const recoveryCohortsPerSecond = 40;
const maxEntries = 20_000;

/**
 * Cutoffs that an entry node has learned from answers, by service and job. They cover the whole
 * call chain below the service. Without new answers the cutoffs rise over time, so that refusing
 * every call, after which no answers arrive, cannot last.
 *
 * @example
 * learned.learn('rounds', 'PLAN', {cutoffs, by: 'stalls'}, clock.monotonic());
 */
export class LearnedCutoffs {
	/** Creates a table that admits every call. */
	static create(): LearnedCutoffs {
		return new LearnedCutoffs();
	}

	private readonly entries = new Map<string, Entry>();

	private constructor() {}

	/** Cutoffs in force for a job at this time; undefined when every call is admitted. */
	cutoffsFor(service: string, job: string, nowMs: number): Cutoffs | undefined {
		const entry = this.entries.get(keyOf(service, job));
		if (!entry) {
			return undefined;
		}

		const recovered = entry.cutoffs.raised(
			((nowMs - entry.updatedMs) / 1000) * recoveryCohortsPerSecond,
		);
		if (recovered.isOpen) {
			this.entries.delete(keyOf(service, job));
			return undefined;
		}

		return recovered;
	}

	/** The service that set the cutoffs of a job; undefined when it is unknown. */
	cutoffSourceOf(service: string, job: string): string | undefined {
		return this.entries.get(keyOf(service, job))?.by;
	}

	/** Adds the cutoffs that an answer or a refusal returned, and the service that set them. */
	learn(
		service: string,
		job: string,
		{cutoffs: received, by}: {readonly cutoffs: Cutoffs; readonly by?: string},
		nowMs: number,
	): void {
		const known = this.cutoffsFor(service, job, nowMs);
		if (!known && received.isOpen) {
			return;
		}

		const cutoffs = (known ?? Cutoffs.open(received.values.length)).interpolate(
			received,
			smoothingFactor,
		);
		if (this.entries.size < maxEntries || known) {
			const source = received.isOpen ? this.cutoffSourceOf(service, job) : by;
			this.entries.set(keyOf(service, job), {cutoffs, updatedMs: nowMs, by: source});
		}
	}
}

const keyOf = (service: string, job: string): string => `${service}\u0000${job}`;
