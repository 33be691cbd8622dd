/**
 * A revision of the platform's store, and the era in which it was given out. A restore of the store
 * begins a new era, in which revisions are given out again, so that only positions of the same era
 * can be compared.
 *
 * @example
 * const isOutdated = position.era !== store.era.current;
 */
export type StorePosition = {
	/** Number that the store raises at each restore; 0 while it has named none. */
	readonly era: number;
	readonly revision: number;
};
