import {History} from '@medlarsaddle/report';

type Stored = {
	readonly atMs: number;
	readonly writes: readonly string[];
	readonly rows: History['rows'];
};

const keptWrites = 20;

/**
 * The counts of one data centre and one share of its services, as the platform holds them. The IDs of
 * the latest writes are kept with them, so that a write whose answer was lost can be recognised.
 *
 * @example
 * const next = RolledUp.of(object.value).with(history, 'dc1-a#7/3', clock.now());
 */
export class RolledUp {
	/** Reads a stored value; one that is missing or malformed counts as empty. */
	static of(value: unknown): RolledUp {
		const {atMs, writes, rows} = (value ?? {}) as Partial<Stored>;
		return new RolledUp(
			typeof atMs === 'number' ? atMs : undefined,
			Array.isArray(writes) ? writes : [],
			History.of(rows),
		);
	}

	private constructor(
		/** Wall time of the latest write; undefined before the first. */
		readonly atMs: number | undefined,
		private readonly writes: readonly string[],
		readonly history: History,
	) {}

	/** Whether a write took effect. */
	holds(writeId: string): boolean {
		return this.writes.includes(writeId);
	}

	/** With more counts. */
	with(more: History, writeId: string, nowMs: number): RolledUp {
		return new RolledUp(
			nowMs,
			[writeId, ...this.writes].slice(0, keptWrites),
			this.history.merge(more).trim(nowMs),
		);
	}

	/** The value to store. */
	get stored(): Stored {
		return {atMs: this.atMs ?? 0, writes: this.writes, rows: this.history.rows};
	}
}
