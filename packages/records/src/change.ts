/**
 * A change that an operator asks for.
 *
 * @example
 * const change: Change = {section: 'base', text, expectedVersion: 3, changeId, author: 'duty'};
 */
export type Change = {
	readonly section: string;
	readonly text: string;
	/** Version that the operator has seen; 0 for a section that should not exist yet. */
	readonly expectedVersion: number;
	/** Chosen by the operator's client, the same on each resend. */
	readonly changeId: string;
	readonly author: string;
};
