import {EventEmitter} from 'node:events';
import type {Clock} from '@medlarsaddle/core';

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
	/** Object before the change; undefined if it was created. */
	readonly previous: StoredObject | undefined;
	readonly atMs: number;
};

type Edit = Partial<Pick<StoredObject, 'spec' | 'status'>> & {
	readonly finalizers?: readonly string[];
};

const initialRevision = 1;

/**
 * State of the simulated store: objects by kind and name, one revision counter for all, the
 * history that watches read, and the era that a restore begins.
 *
 * @example
 * const created = objects.add('config', 'main', {spec: {version: 1}});
 */
export class ObjectTable {
	/** Creates a store without objects; its changes are dated by the clock. */
	static create(clock: Pick<Clock, 'monotonic'>): ObjectTable {
		return new ObjectTable(clock);
	}

	private revision = initialRevision;
	private eraNumber = 1;
	private readonly kinds = new Map<string, Map<string, StoredObject>>();
	private history: Change[] = [];
	/** Revision of the oldest change that watches may still read. */
	private oldestRevision = 1;
	private readonly emitter = new EventEmitter().setMaxListeners(0);

	private constructor(private readonly clock: Pick<Clock, 'monotonic'>) {}

	/** Revision of the last change. */
	get storeRevision(): number {
		return this.revision;
	}

	/** Number of restores so far, counted from 1. */
	get era(): number {
		return this.eraNumber;
	}

	/** Revision that the store had at a time of its clock, in milliseconds. */
	revisionAt(atMs: number): number {
		return (
			this.history.findLast(change => change.atMs <= atMs)?.object.metadata.revision ??
			initialRevision
		);
	}

	/**
	 * Puts the objects, the revision counter and the history back to those of an earlier revision and
	 * begins a new era. The revisions after it are given out again.
	 */
	restore(revision: number): void {
		const isKept = ({object}: Change) => object.metadata.revision <= revision;
		for (const {kind, object, previous} of this.history
			.filter(change => !isKept(change))
			.toReversed()) {
			const objects = this.kinds.get(kind)!;
			if (previous) {
				objects.set(previous.metadata.name, previous);
			} else {
				objects.delete(object.metadata.name);
			}
		}

		this.history = this.history.filter(change => isKept(change));
		this.oldestRevision = Math.min(this.oldestRevision, revision + 1);
		this.revision = revision;
		this.eraNumber++;
		this.notifyListeners();
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
		const previous = objects.get(object.metadata.name);
		this.kinds.set(kind, objects.set(object.metadata.name, stored));
		this.record({kind, deleted: false, object: stored, previous});
		return stored;
	}

	private drop(kind: string, object: StoredObject): StoredObject {
		this.revision++;
		const deletedObject = {...object, metadata: {...object.metadata, revision: this.revision}};
		const previous = this.get(kind, object.metadata.name);
		this.kinds.get(kind)?.delete(object.metadata.name);
		this.record({kind, deleted: true, object: deletedObject, previous});
		return deletedObject;
	}

	private record(change: Omit<Change, 'atMs'>): void {
		this.history.push({...change, atMs: this.clock.monotonic()});
		this.notifyListeners();
	}
}
