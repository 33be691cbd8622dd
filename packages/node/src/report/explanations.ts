/** Why one request was refused or quarantined. */
type Explanation = {
	readonly atMs: number;
	readonly rootId: string;
	readonly key: string;
	readonly service: string;
	readonly job: string;
	readonly rank: string;
	readonly cohort: number;
	readonly cutoff: number;
	readonly fault: string;
	readonly run: string;
	readonly what: string;
	readonly remedy: string;
	readonly policyVersion: number;
	readonly refusedBy: string;
	readonly limit: number;
};

const maxEntries = 500;

/**
 * The latest refusals of this node, for operators who ask why a request was refused.
 *
 * @example
 * explanations.find(rootId);
 */
export class Explanations {
	/** Creates an empty list of explanations. */
	static create(): Explanations {
		return new Explanations();
	}

	private readonly entries: Explanation[] = [];

	private constructor() {}

	/** Adds a refusal; the oldest is dropped when there are too many. */
	add(explanation: Explanation): void {
		this.entries.push(explanation);
		if (this.entries.length > maxEntries) {
			this.entries.shift();
		}
	}

	/** Refusals of an idempotency key or root request, newest first; all for an empty subject. */
	find(subject: string): Explanation[] {
		return this.entries
			.filter(({rootId, key}) => subject === '' || subject === rootId || subject === key)
			.toReversed();
	}
}
