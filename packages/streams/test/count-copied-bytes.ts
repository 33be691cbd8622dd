import type {TestContext} from 'node:test';

/**
 * Counts the bytes that buffers copy from now on until the test ends.
 *
 * @example
 * const copiedBytes = countCopiedBytes(t);
 */
export const countCopiedBytes = ({mock}: TestContext): (() => number) => {
	const {calls: joins} = mock.method(Buffer, 'concat').mock;
	const {calls: copies} = mock.method(Buffer.prototype as Buffer, 'copy').mock;
	return () =>
		joins.reduce((sum, {result}) => sum + result!.length, 0) +
		copies.reduce((sum, {result}) => sum + result!, 0);
};
