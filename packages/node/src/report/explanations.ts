/** Why one request was refused or held. */
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

const maxKept = 500;

/**
 * The latest refusals of this node, for operators who ask why.
 *
 * @example
 * explanations.find(rootId);
 */
export class Explanations {
	/** Creates an empty memory. */
	static create(): Explanations {
		return new Explanations();
	}

	private readonly kept: Explanation[] = [];

	private constructor() {}

	/** Remembers a refusal in place of the oldest. */
	add(explanation: Explanation): void {
		this.kept.push(explanation);
		if (this.kept.length > maxKept) {
			this.kept.shift();
		}
	}

	/** Refusals of a key or root request, the newest first; all of them for an empty subject. */
	find(subject: string): Explanation[] {
		return this.kept
			.filter(({rootId, key}) => subject === '' || subject === rootId || subject === key)
			.toReversed();
	}
}
