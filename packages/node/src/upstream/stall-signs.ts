/**
 * What may show that the connection of a call is silent.
 *
 * @example
 * log(events.callStalled, {sign: stallSigns.overtaken});
 */
export const stallSigns = {
	/** Calls that started later have ended. */
	overtaken: 'overtaken',
	/** No call has ended since, but the upstream answers on a new connection. */
	unanswered: 'unanswered',
	/** The upstream was withdrawn or replaced. */
	withdrawn: 'withdrawn',
} as const;
