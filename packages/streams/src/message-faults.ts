/**
 * Why a message could not be read.
 *
 * @example
 * throw new MessageError(messageFaults.malformed, 'two lengths; send one');
 */
export const messageFaults = {
	malformed: 'malformed',
	headTooLarge: 'head-too-large',
	tooLarge: 'too-large',
	cutShort: 'cut-short',
	tooSlow: 'too-slow',
} as const;
