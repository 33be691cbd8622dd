import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';

const headerLine = /^([\w!#$%&'*+\-.^`|~]+):[ \t]*(.*?)[ \t]*$/u;
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
		const match = headerLine.exec(line);
		if (!match || forbidden.test(line)) {
			throw new MessageError(messageFaults.malformed, 'a header line is malformed; correct it');
		}

		headers.push(match[1]!, match[2]!);
	}

	return headers;
};
