/**
 * Encoding of records of one type as lists: each field has a fixed position, and no names are sent.
 * New fields are only ever appended, so that nodes of different versions can read each other's
 * records.
 *
 * @example
 * const layout: Layout<UpstreamState> = defineLayout({waitMs: asIs, limit: asIs, heldMs: asIs});
 */
export type Layout<T> = {
	/**
	 * Converts a record to a list. Undefined fields become null, and are omitted at the end of the
	 * list.
	 */
	readonly write: (record: T) => unknown[];
	/** Converts a list back to a record; throws a TypeError when `values` is not a list. */
	readonly read: (values: unknown) => T;
};
