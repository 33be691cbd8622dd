/** What a connection of a caller does. */
export const connectionPhases = {
	/** It waits for a request. */
	idle: 'idle',
	/** The head of its request is being read, and no request before it is unanswered. */
	head: 'head',
	/** The body of its request is being read, and no request before it is unanswered. */
	body: 'body',
	/** It has requests that are not answered. */
	serving: 'serving',
} as const;
