const maxKept = 200;

/**
 * Which members have told this node that a section version is in force at them. For each version one
 * member of a data centre collects, so nobody has to ask every node.
 *
 * @example
 * counts.add('base', 7, 'dc1-a');
 */
export class HeldCounts {
	/** Creates empty counts. */
	static create(): HeldCounts {
		return new HeldCounts();
	}

	private readonly kept = new Map<string, Set<string>>();

	private constructor() {}

	/** Notes that a member has a version in force. */
	add(section: string, version: number, member: string): void {
		const key = keyOf(section, version);
		const members = this.kept.get(key) ?? new Set();
		members.add(member);
		this.kept.set(key, members);
		if (this.kept.size > maxKept) {
			this.kept.delete(this.kept.keys().next().value!);
		}
	}

	/** Members that have told. */
	of(section: string, version: number): ReadonlySet<string> {
		return this.kept.get(keyOf(section, version)) ?? new Set();
	}
}

const keyOf = (section: string, version: number): string => `${version}@${section}`;
