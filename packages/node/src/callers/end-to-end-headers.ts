/** Headers that belong to one connection or that each hop sets anew. */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'content-length',
	'expect',
	'date',
]);

const reservedPrefix = 'medlar-';

/**
 * The headers of a message that are forwarded to the next hop, with names in lower case.
 *
 * @example
 * const headers = endToEndHeaders(req.raw.rawHeaders);
 */
export const endToEndHeaders = (raw: readonly string[]): string[] => {
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = raw[index]!.toLowerCase();
		if (
			!hopByHopHeaders.has(name) &&
			!name.startsWith(reservedPrefix) &&
			name !== 'idempotency-key'
		) {
			forwarded.push(name, raw[index + 1]!);
		}
	}

	return forwarded;
};
