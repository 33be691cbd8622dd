/** Kinds of rumor that spread between nodes. */
export const rumorKinds = {
	/** The record of a member. */
	member: 'member',
	/** A new version of a policy section. */
	section: 'section',
	/** A request that is suspected of crashing upstreams. */
	suspect: 'suspect',
	/** The record of a member to keep as a contact in its group. */
	contact: 'contact',
} as const;
