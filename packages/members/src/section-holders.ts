/** Section versions to keep; the oldest is dropped when there are more. */
const maxVersions = 200;

/**
 * The members that reported to this node that a section version is in force there. One member of a
 * group collects the reports for each version, so that nobody has to query every node.
 *
 * @example
 * holders.add('base', 7, 'dc1-a');
 */
export class SectionHolders {
	/** Creates an empty record. */
	static create(): SectionHolders {
		return new SectionHolders();
	}

	private readonly membersByVersion = new Map<string, Set<string>>();

	private constructor() {}

	/** Records that a member has a section version in force. */
	add(section: string, version: number, member: string): void {
		const key = keyOf(section, version);
		const members = this.membersByVersion.get(key) ?? new Set();
		members.add(member);
		this.membersByVersion.set(key, members);
		if (this.membersByVersion.size > maxVersions) {
			this.membersByVersion.delete(this.membersByVersion.keys().next().value!);
		}
	}

	/** IDs of the members that reported a section version. */
	of(section: string, version: number): ReadonlySet<string> {
		return this.membersByVersion.get(keyOf(section, version)) ?? new Set();
	}
}

const keyOf = (section: string, version: number): string => `${version}@${section}`;
