import {OutcomeHistory} from '@medlarsaddle/report';

type Stored = {
	readonly atMs: number;
	readonly writes: readonly string[];
	readonly rows: OutcomeHistory['rows'];
};

const maxWriteIds = 20;

/**
 * The counts of one data centre and one shard of its services, as the platform stores them. They
 * include the IDs of the latest writes, so that a write whose answer was lost can be recognised.
 *
 * @example
 * const next = ReportObject.of(object.value).with(history, 'dc1-a#7/3', clock.now());
 */
export class ReportObject {
	/** Reads a stored value; a missing or malformed one counts as empty. */
	static of(value: unknown): ReportObject {
		const {atMs, writes, rows} = (value ?? {}) as Partial<Stored>;
		return new ReportObject(
			typeof atMs === 'number' ? atMs : undefined,
			Array.isArray(writes) ? writes : [],
			OutcomeHistory.of(rows),
		);
	}

	private constructor(
		/** Wall-clock time of the latest write; undefined before the first. */
		readonly atMs: number | undefined,
		private readonly writes: readonly string[],
		readonly history: OutcomeHistory,
	) {}

	/** Whether the write with an ID took effect. */
	hasWrite(writeId: string): boolean {
		return this.writes.includes(writeId);
	}

	/** A copy with more counts, as written at the given time under the given ID. */
	with(added: OutcomeHistory, writeId: string, nowMs: number): ReportObject {
		return new ReportObject(
			nowMs,
			[writeId, ...this.writes].slice(0, maxWriteIds),
			this.history.merge(added).trim(nowMs),
		);
	}

	/** The value to store. */
	get stored(): Stored {
		return {atMs: this.atMs ?? 0, writes: this.writes, rows: this.history.rows};
	}
}
