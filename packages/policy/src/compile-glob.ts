/**
 * Compiles a glob pattern into a predicate. `*` matches any sequence of characters, even an empty
 * one; every other character matches itself.
 *
 * @example
 * compileGlob('OLD/*.pay')('OLD/fee.pay'); // true
 */
export const compileGlob = (pattern: string): ((text: string) => boolean) => {
	const [first = '', ...rest] = pattern.split('*');
	const last = rest.pop();
	if (last === undefined) {
		return text => text === first;
	}

	return text => {
		if (!text.startsWith(first) || text.length < first.length + last.length) {
			return false;
		}

		const endOfMiddle = text.length - last.length;
		let from = first.length;
		for (const part of rest) {
			const found = text.indexOf(part, from);
			if (found === -1 || found + part.length > endOfMiddle) {
				return false;
			}

			from = found + part.length;
		}

		return text.endsWith(last);
	};
};
