const maxCauses = 12;

/**
 * Adds counts to a table of causes. When the table is full, only the most frequent causes are kept.
 *
 * @example
 * addCauses(causes, {'overloaded at pitch-map': 3});
 */
export const addCauses = (
	causes: Map<string, number>,
	more: Iterable<readonly [string, number]>,
): void => {
	for (const [cause, count] of more) {
		causes.set(cause, (causes.get(cause) ?? 0) + count);
	}

	if (causes.size > maxCauses) {
		const smallest = [...causes].toSorted((a, b) => b[1] - a[1]).slice(maxCauses);
		for (const [cause] of smallest) {
			causes.delete(cause);
		}
	}
};
