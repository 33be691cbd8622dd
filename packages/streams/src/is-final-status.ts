/**
 * Whether a value is the status of a final response: 200 to 599, as HTTP has no others.
 *
 * @example
 * if (!isFinalStatus(status)) {
 * 	throw malformed('the status is none of HTTP; look at the sender');
 * }
 */
export const isFinalStatus = (status: unknown): status is number =>
	Number.isInteger(status) && (status as number) >= 200 && (status as number) <= 599;
