import type {TestContext} from 'node:test';

/**
 * Counts the bytes that buffers copy from now on until the test ends.
 *
 * @example
 * const copiedBytes = countCopiedBytes(t);
 */
export const countCopiedBytes = ({mock}: TestContext): (() => number) => {
	const {mock: joins} = mock.method(Buffer, 'concat');
	const {mock: copies} = mock.method(Buffer.prototype as Buffer, 'copy');
	// Each read of `calls` returns a copy of the calls so far.
	return () =>
		joins.calls.reduce((sum, {result}) => sum + result!.length, 0) +
		copies.calls.reduce((sum, {result}) => sum + result!, 0);
};
