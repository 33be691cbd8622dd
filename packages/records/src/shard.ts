import {hash32} from '@medlarsaddle/core';
import type {ChangeRecord} from './change-record.js';
import type {StoredSection} from './stored-section.js';

/** Number of store objects among which the policy is divided. */
const shardCount = 8;

const maxChanges = 200;

/**
 * The sections and recent changes in one store object. Sections are divided by name among a fixed
 * number of objects, so that the number of store calls does not grow with the number of services.
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

	/** Name of the object that contains a section. */
	static nameFor(section: string): string {
		return Shard.names[hash32(section) % shardCount]!;
	}

	/** Reads a shard from a stored value; a missing or malformed value is an empty shard. */
	static of(value: unknown): Shard {
		const {sections, changes} = (value ?? {}) as Partial<Shard>;
		return new Shard(sections ?? {}, Array.isArray(changes) ? changes : []);
	}

	private constructor(
		readonly sections: Readonly<Record<string, StoredSection>>,
		readonly changes: readonly ChangeRecord[],
	) {}

	/** Returns the accepted change with this ID; undefined if it is not, or no longer, listed. */
	findChange(changeId: string): ChangeRecord | undefined {
		return this.changes.find(change => change.changeId === changeId);
	}

	/** Returns the shard with the section added or replaced and its change listed first. */
	with(section: StoredSection): Shard {
		const {name, version, changeId, author, atMs} = section;
		const change = {section: name, version, changeId, author, atMs};
		return new Shard(
			{...this.sections, [name]: section},
			[change, ...this.changes].slice(0, maxChanges),
		);
	}
}
