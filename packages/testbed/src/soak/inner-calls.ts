/**
 * Prefix of the route that the upstream of a route calls below it. A chain of calls is three deep.
 *
 * @example
 * innerCalls.get('/look/'); // '/check/'
 */
export const innerCalls: ReadonlyMap<string, string> = new Map([
	['/look/', '/check/'],
	['/check/', '/stock/'],
]);
