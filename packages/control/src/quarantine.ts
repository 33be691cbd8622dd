import type {Clock} from '@medlarsaddle/core';

type Opts = {
	readonly clock: Clock;
	readonly entryLifetimeMs?: number;
	readonly maxEntries?: number;
};

/** A request, identified by its content, that was in flight when an upstream crashed. */
type Suspect = {
	readonly fingerprint: string;
	readonly service: string;
	readonly job: string;
	/** IDs of the crashes during which it was in flight. */
	readonly crashes: readonly string[];
	readonly expiresMs: number;
};

const crashesToHold = 2;
const defaultEntryLifetimeMs = 120_000;
const defaultMaxEntries = 1000;

/**
 * Finds requests that crash upstreams. Every request in flight at a crash becomes a suspect. A node
 * runs suspects one at a time, so a second crash has only one suspect in flight and is attributed
 * to it alone. A request that was in flight at two crashes is held back until its entry expires.
 *
 * @example
 * const suspects = quarantine.noteCrash('dc1-a:17', inFlight);
 */
export class Quarantine {
	/** Creates a quarantine without suspects. */
	static create({
		clock,
		entryLifetimeMs = defaultEntryLifetimeMs,
		maxEntries = defaultMaxEntries,
	}: Opts): Quarantine {
		return new Quarantine(clock, entryLifetimeMs, maxEntries);
	}

	private readonly suspects = new Map<string, Suspect>();

	private constructor(
		private readonly clock: Clock,
		private readonly entryLifetimeMs: number,
		private readonly maxEntries: number,
	) {}

	/** Whether there are no entries. */
	get isEmpty(): boolean {
		return this.suspects.size === 0;
	}

	/** All suspected and held requests. */
	get entries(): readonly Suspect[] {
		this.removeExpired();
		return [...this.suspects.values()];
	}

	/** Whether the request was in flight at a crash and its entry has not expired. */
	isSuspect(fingerprint: string): boolean {
		return this.unexpired(fingerprint) !== undefined;
	}

	/** Whether the request is held back. */
	isHeld(fingerprint: string): boolean {
		return (this.unexpired(fingerprint)?.crashes.length ?? 0) >= crashesToHold;
	}

	/** Records a crash and returns the changed entries, to be sent to other nodes. */
	noteCrash(
		crashId: string,
		inFlight: ReadonlyArray<{
			readonly fingerprint: string;
			readonly service: string;
			readonly job: string;
		}>,
	): Suspect[] {
		const expiresMs = this.clock.now() + this.entryLifetimeMs;
		// If known suspects were in flight, the crash is attributed to them alone.
		const known = inFlight.filter(({fingerprint}) => this.isSuspect(fingerprint));
		const attributed = known.length > 0 ? known : inFlight;
		return attributed
			.map(({fingerprint, service, job}) => ({
				fingerprint,
				service,
				job,
				crashes: [...(this.unexpired(fingerprint)?.crashes ?? []), crashId],
				expiresMs,
			}))
			.filter(suspect => this.merge(suspect));
	}

	/** Merges an entry from another node; true when it adds a crash. */
	merge(received: Suspect): boolean {
		const known = this.unexpired(received.fingerprint);
		const crashes = [...new Set([...(known?.crashes ?? []), ...received.crashes])];
		const isNew = !known || crashes.length > known.crashes.length;
		if (!isNew || received.expiresMs <= this.clock.now()) {
			return false;
		}

		this.removeExpired();
		if (!known && this.suspects.size >= this.maxEntries) {
			return false;
		}

		const latestMs = this.clock.now() + this.entryLifetimeMs;
		const expiresMs = Math.min(latestMs, Math.max(known?.expiresMs ?? 0, received.expiresMs));
		this.suspects.set(received.fingerprint, {...received, crashes, expiresMs});
		return true;
	}

	private unexpired(fingerprint: string): Suspect | undefined {
		const suspect = this.suspects.get(fingerprint);
		return suspect && suspect.expiresMs > this.clock.now() ? suspect : undefined;
	}

	private removeExpired(): void {
		for (const [fingerprint, {expiresMs}] of this.suspects) {
			if (expiresMs <= this.clock.now()) {
				this.suspects.delete(fingerprint);
			}
		}
	}
}
