/**
 * Returns the value of a header, or undefined when it is absent. The name is in lower case.
 *
 * @example
 * const id = headerOf(req.headers, 'attempt-id');
 */
export const headerOf = (headers: readonly string[], name: string): string | undefined => {
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const candidate = headers[index]!;
		if (candidate.length === name.length && candidate.toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
};
