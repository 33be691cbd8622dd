import {Cutoffs} from './cutoffs.js';

type Entry = {
	readonly cutoffs: Cutoffs;
	readonly updatedMs: number;
	/** The service that the cutoffs were heard of. */
	readonly by?: string;
};

const learnGain = 0.3;
const recoverPerSecond = 40;
const maxEntries = 20_000;

/**
 * What an entry has learned from answers: the cutoffs that hold along the whole chain below each
 * service and job. An entry that hears nothing recovers with time, so that refusing everything
 * cannot last by itself.
 *
 * @example
 * book.learn('rounds', 'PLAN', {cutoffs, by: 'stalls'}, clock.monotonic());
 */
export class LevelBook {
	/** Creates a book that admits everything. */
	static create(): LevelBook {
		return new LevelBook();
	}

	private readonly entries = new Map<string, Entry>();

	private constructor() {}

	/** Cutoffs in force for a job at this time. */
	cutoffsFor(service: string, job: string, nowMs: number): Cutoffs | undefined {
		const entry = this.entries.get(keyOf(service, job));
		if (!entry) {
			return undefined;
		}

		const recovered = entry.cutoffs.raised(((nowMs - entry.updatedMs) / 1000) * recoverPerSecond);
		if (recovered.isOpen) {
			this.entries.delete(keyOf(service, job));
			return undefined;
		}

		return recovered;
	}

	/** The service whose cutoffs hold for a job; undefined when it is not known. */
	presserOf(service: string, job: string): string | undefined {
		return this.entries.get(keyOf(service, job))?.by;
	}

	/** Takes in the cutoffs that came back on an answer or a refusal, and whose they are. */
	learn(
		service: string,
		job: string,
		{cutoffs: heard, by}: {readonly cutoffs: Cutoffs; readonly by?: string},
		nowMs: number,
	): void {
		const known = this.cutoffsFor(service, job, nowMs);
		if (!known && heard.isOpen) {
			return;
		}

		const cutoffs = (known ?? Cutoffs.open(heard.values.length)).towards(heard, learnGain);
		if (this.entries.size < maxEntries || known) {
			const named = heard.isOpen ? this.presserOf(service, job) : by;
			this.entries.set(keyOf(service, job), {cutoffs, updatedMs: nowMs, by: named});
		}
	}
}

const keyOf = (service: string, job: string): string => `${service}\u0000${job}`;
