/**
 * A role at the platform's store that some members of each data centre have.
 *
 * @example
 * const reader: StoreRole = {name: 'configuration', count: 2, maxCount: 4};
 */
export type StoreRole = {
	readonly name: string;
	/** Members of each data centre that have the role. */
	readonly count: number;
	/** Members of each data centre that have the role at most, while others are in trouble. */
	readonly maxCount: number;
};
