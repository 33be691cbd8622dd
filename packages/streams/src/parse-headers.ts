import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';

const token = /^[\w!#$%&'*+\-.^`|~]+$/u;
// eslint-disable-next-line no-control-regex -- control characters are what must not occur
const forbidden = /[\u0000-\u0008\u000A-\u001F\u007F]/u;

/**
 * Parses the lines of a head after its first one. Names keep their case.
 *
 * @throws MessageError of kind `malformed` for a folded line, a name that is no token, or a control
 * character, each of which another reader of the same bytes could take for a different header.
 *
 * @example
 * const headers = parseHeaders(['Host: shop.example']);
 */
export const parseHeaders = (lines: readonly string[]): string[] => {
	const headers: string[] = [];
	for (const line of lines) {
		const nameEnd = line.indexOf(':');
		const name = line.slice(0, Math.max(0, nameEnd));
		if (!token.test(name) || forbidden.test(line)) {
			throw new MessageError(messageFaults.malformed, 'a header line is malformed; correct it');
		}

		headers.push(name, withoutBlanks(line, nameEnd + 1));
	}

	return headers;
};

/** The part of a line from a position on, without the blanks at its ends. */
const withoutBlanks = (line: string, from: number): string => {
	let start = from;
	let end = line.length;
	while (start < end && isBlank(line[start]!)) {
		start++;
	}

	while (end > start && isBlank(line[end - 1]!)) {
		end--;
	}

	return line.slice(start, end);
};

const isBlank = (char: string): boolean => char === ' ' || char === '\t';
