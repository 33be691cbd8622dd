/**
 * How records of one type are sent as lists: each field has a fixed place and no name is sent. Fields
 * are only ever added behind the last one, so that nodes of two versions read each other's records.
 *
 * @example
 * const layout: Layout<UpstreamState> = defineLayout({waitMs: asIs, limit: asIs, heldMs: asIs});
 */
export type Layout<Rec> = {
	/** Lists the values of a record; what is undefined is null, or left out at the end. */
	readonly write: (rec: Rec) => unknown[];
	/** Reads a list back; throws a TypeError when it is none. */
	readonly read: (values: unknown) => Rec;
};
