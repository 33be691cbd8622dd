import {EventEmitter} from 'node:events';

/**
 * An object as the platform's store holds it.
 *
 * @example
 * const {metadata, spec} = stored;
 */
type Stored = {
	readonly metadata: {
		readonly name: string;
		readonly revision: number;
		readonly created: number;
		readonly finalizers: readonly string[];
		readonly deleting: boolean;
	};
	readonly spec: unknown;
	readonly status: unknown;
};

type Change = {
	readonly kind: string;
	readonly deleted: boolean;
	readonly object: Stored;
};

type Edit = Partial<Pick<Stored, 'spec' | 'status'>> & {readonly finalizers?: readonly string[]};

/**
 * The state of the store stand-in: objects by kind and name, one revision counter for all, and the
 * history that watches read.
 *
 * @example
 * const created = objects.create('config', 'main', {spec: {version: 1}});
 */
export class Objects {
	/** Creates a store without objects. */
	static create(): Objects {
		return new Objects();
	}

	private revision = 1;
	private readonly kinds = new Map<string, Map<string, Stored>>();
	private history: Change[] = [];
	/** Revision of the oldest change that the history still holds. */
	private oldest = 1;
	private readonly changed = new EventEmitter().setMaxListeners(0);

	private constructor() {}

	/** Revision of the last change. */
	get storeRevision(): number {
		return this.revision;
	}

	/** Objects of a kind, by name. */
	list(kind: string): Stored[] {
		return [...(this.kinds.get(kind)?.values() ?? [])].toSorted((a, b) =>
			a.metadata.name < b.metadata.name ? -1 : 1,
		);
	}

	/** One object. */
	get(kind: string, name: string): Stored | undefined {
		return this.kinds.get(kind)?.get(name);
	}

	/** Adds an object; undefined when there is one of that name. */
	add(kind: string, name: string, edit: Edit): Stored | undefined {
		if (this.get(kind, name)) {
			return undefined;
		}

		const created = this.revision + 1;
		const {spec, status, finalizers = []} = edit;
		const metadata = {name, revision: created, created, finalizers, deleting: false};
		return this.put(kind, {metadata, spec, status});
	}

	/** Changes an object. A change that leaves it as it is takes no revision. */
	edit(kind: string, before: Stored, edit: Edit): Stored {
		const {finalizers = before.metadata.finalizers, ...content} = edit;
		const next = {
			...before,
			...content,
			metadata: {...before.metadata, finalizers},
		};
		if (JSON.stringify(next) === JSON.stringify(before)) {
			return before;
		}

		return next.metadata.deleting && finalizers.length === 0
			? this.drop(kind, next)
			: this.put(kind, next);
	}

	/** Removes an object, or marks it while it has finalizers. */
	remove(kind: string, object: Stored): Stored {
		return object.metadata.finalizers.length === 0
			? this.drop(kind, object)
			: this.put(kind, {...object, metadata: {...object.metadata, deleting: true}});
	}

	/** Changes of a kind after a revision; undefined when that history is gone. */
	changesAfter(kind: string, revision: number): Change[] | undefined {
		return revision + 1 < this.oldest
			? undefined
			: this.history.filter(
					change => change.kind === kind && change.object.metadata.revision > revision,
				);
	}

	/** Drops the history, so that watches have to begin anew. */
	forgetHistory(): void {
		this.history = [];
		this.oldest = this.revision + 1;
		this.wake();
	}

	/** Calls back at the next change, until the function returned is called. */
	onChange(listener: () => void): () => void {
		this.changed.on('change', listener);
		return () => this.changed.off('change', listener);
	}

	/** Wakes everything that waits for a change. */
	wake(): void {
		this.changed.emit('change');
	}

	private put(kind: string, object: Stored): Stored {
		this.revision++;
		const stored = structuredClone({
			...object,
			metadata: {...object.metadata, revision: this.revision},
		});
		const objects = this.kinds.get(kind) ?? new Map<string, Stored>();
		this.kinds.set(kind, objects.set(object.metadata.name, stored));
		this.note({kind, deleted: false, object: stored});
		return stored;
	}

	private drop(kind: string, object: Stored): Stored {
		this.revision++;
		const gone = {...object, metadata: {...object.metadata, revision: this.revision}};
		this.kinds.get(kind)?.delete(object.metadata.name);
		this.note({kind, deleted: true, object: gone});
		return gone;
	}

	private note(change: Change): void {
		this.history.push(change);
		this.wake();
	}
}
