import {hash32} from '@medlarsaddle/core';
import type {ChangeRecord} from './change-record.js';
import type {StoredSection} from './stored-section.js';

/** How many store objects the policy is divided into. */
const shardCount = 8;

const maxChanges = 200;

/**
 * The sections and recent changes that one store object holds. Sections are divided among few
 * objects by name, so that the platform's calls do not grow with the number of services.
 *
 * @example
 * const shard = Shard.of(object.value);
 */
export class Shard {
	/** Names of all shard objects. */
	static readonly names: readonly string[] = Array.from(
		{length: shardCount},
		(_name, index) => `policy-${index}`,
	);

	/** Name of the object that holds a section. */
	static nameFor(section: string): string {
		return Shard.names[hash32(section) % shardCount]!;
	}

	/** Reads a shard from a stored value; one that is missing or malformed counts as empty. */
	static of(value: unknown): Shard {
		const {sections, changes} = (value ?? {}) as Partial<Shard>;
		return new Shard(sections ?? {}, Array.isArray(changes) ? changes : []);
	}

	private constructor(
		readonly sections: Readonly<Record<string, StoredSection>>,
		readonly changes: readonly ChangeRecord[],
	) {}

	/** The accepted change of this ID, if it is still listed. */
	changeOf(changeId: string): ChangeRecord | undefined {
		return this.changes.find(change => change.changeId === changeId);
	}

	/** The shard with one section replaced and the change listed. */
	with(section: StoredSection): Shard {
		const {name, version, changeId, author, atMs} = section;
		const change = {section: name, version, changeId, author, atMs};
		return new Shard(
			{...this.sections, [name]: section},
			[change, ...this.changes].slice(0, maxChanges),
		);
	}
}
