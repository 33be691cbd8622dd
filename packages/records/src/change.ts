/**
 * A change to a policy section that an operator requests.
 *
 * @example
 * const change: Change = {section: 'base', text, expectedVersion: 3, changeId, author: 'duty'};
 */
export type Change = {
	readonly section: string;
	readonly text: string;
	/** Version on which the change is based; 0 for a section that must not exist yet. */
	readonly expectedVersion: number;
	/** ID chosen by the operator's client; a resent change has the same one. */
	readonly changeId: string;
	readonly author: string;
};
