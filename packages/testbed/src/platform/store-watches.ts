import type {ObjectTable} from './object-table.js';

type Watch = {
	readonly kind: string;
	readonly revision: number;
	readonly waitMs: number;
	/** Whether the store has become unable to answer. */
	readonly isInterrupted: () => boolean;
};

/**
 * The watches that wait for a change of the simulated store.
 *
 * @example
 * const isCutOff = await watches.wait({kind, revision, waitMs, isInterrupted: () => false});
 */
export class StoreWatches {
	/** Creates the watches of a store. */
	static create(objects: ObjectTable): StoreWatches {
		return new StoreWatches(objects);
	}

	private readonly cuts = new Set<() => void>();

	private constructor(private readonly objects: ObjectTable) {}

	/** Cuts off every waiting watch. */
	cutOff(): void {
		for (const cut of this.cuts) {
			cut();
		}
	}

	/**
	 * Waits until a change of the kind has a higher revision, the history has gone, the wait times out
	 * or the watch is interrupted; resolves with whether it was cut off.
	 */
	async wait({kind, revision, waitMs, isInterrupted}: Watch): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const isDone = () => this.objects.changesAfter(kind, revision)?.length !== 0;
			const finish = (isCutOff: boolean) => {
				clearTimeout(timer);
				stopListening();
				this.cuts.delete(cut);
				resolve(isCutOff);
			};

			const cut = () => {
				finish(true);
			};

			const check = () => {
				if (isInterrupted() || isDone()) {
					finish(false);
				}
			};

			const timer = setTimeout(finish, waitMs, false);
			const stopListening = this.objects.onChange(check);
			this.cuts.add(cut);
			check();
		});
	}
}
