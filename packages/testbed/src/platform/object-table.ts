import {EventEmitter} from 'node:events';

/**
 * An object in the platform's store.
 *
 * @example
 * const {metadata, spec} = stored;
 */
type StoredObject = {
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
	readonly object: StoredObject;
};

type Edit = Partial<Pick<StoredObject, 'spec' | 'status'>> & {
	readonly finalizers?: readonly string[];
};

/**
 * State of the simulated store: objects by kind and name, one revision counter for all, and the
 * history that watches read.
 *
 * @example
 * const created = objects.add('config', 'main', {spec: {version: 1}});
 */
export class ObjectTable {
	/** Creates a store without objects. */
	static create(): ObjectTable {
		return new ObjectTable();
	}

	private revision = 1;
	private readonly kinds = new Map<string, Map<string, StoredObject>>();
	private history: Change[] = [];
	/** Revision of the oldest change in the history. */
	private oldestRevision = 1;
	private readonly emitter = new EventEmitter().setMaxListeners(0);

	private constructor() {}

	/** Revision of the last change. */
	get storeRevision(): number {
		return this.revision;
	}

	/** Objects of a kind, sorted by name. */
	list(kind: string): StoredObject[] {
		return [...(this.kinds.get(kind)?.values() ?? [])].toSorted((a, b) =>
			a.metadata.name < b.metadata.name ? -1 : 1,
		);
	}

	/** One object. */
	get(kind: string, name: string): StoredObject | undefined {
		return this.kinds.get(kind)?.get(name);
	}

	/** Adds an object; undefined when the name is taken. */
	add(kind: string, name: string, edit: Edit): StoredObject | undefined {
		if (this.get(kind, name)) {
			return undefined;
		}

		const created = this.revision + 1;
		const {spec, status, finalizers = []} = edit;
		const metadata = {name, revision: created, created, finalizers, deleting: false};
		return this.put(kind, {metadata, spec, status});
	}

	/** Changes an object. A change without effect does not advance the revision. */
	edit(kind: string, current: StoredObject, edit: Edit): StoredObject {
		const {finalizers = current.metadata.finalizers, ...content} = edit;
		const next = {
			...current,
			...content,
			metadata: {...current.metadata, finalizers},
		};
		if (JSON.stringify(next) === JSON.stringify(current)) {
			return current;
		}

		return next.metadata.deleting && finalizers.length === 0
			? this.drop(kind, next)
			: this.put(kind, next);
	}

	/** Removes an object, or marks it as deleting while it has finalizers. */
	remove(kind: string, object: StoredObject): StoredObject {
		return object.metadata.finalizers.length === 0
			? this.drop(kind, object)
			: this.put(kind, {...object, metadata: {...object.metadata, deleting: true}});
	}

	/** Changes of a kind after a revision; undefined when the history starts later than that. */
	changesAfter(kind: string, revision: number): Change[] | undefined {
		return revision + 1 < this.oldestRevision
			? undefined
			: this.history.filter(
					change => change.kind === kind && change.object.metadata.revision > revision,
				);
	}

	/** Clears the history, so that watches have to start again from a list. */
	clearHistory(): void {
		this.history = [];
		this.oldestRevision = this.revision + 1;
		this.notifyListeners();
	}

	/** Calls the listener at each change until the returned function is called. */
	onChange(listener: () => void): () => void {
		this.emitter.on('change', listener);
		return () => this.emitter.off('change', listener);
	}

	/** Calls the listeners, as after a change. */
	notifyListeners(): void {
		this.emitter.emit('change');
	}

	private put(kind: string, object: StoredObject): StoredObject {
		this.revision++;
		const stored = structuredClone({
			...object,
			metadata: {...object.metadata, revision: this.revision},
		});
		const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
		this.kinds.set(kind, objects.set(object.metadata.name, stored));
		this.record({kind, deleted: false, object: stored});
		return stored;
	}

	private drop(kind: string, object: StoredObject): StoredObject {
		this.revision++;
		const deletedObject = {...object, metadata: {...object.metadata, revision: this.revision}};
		this.kinds.get(kind)?.delete(object.metadata.name);
		this.record({kind, deleted: true, object: deletedObject});
		return deletedObject;
	}

	private record(change: Change): void {
		this.history.push(change);
		this.notifyListeners();
	}
}
