/**
 * Least-squares line through points: its value at 0 and its slope.
 *
 * @example
 * const {at0, perUnit} = slope([[20, 1.5], [60, 2], [180, 3.5]]);
 */
export const slope = (
	points: ReadonlyArray<readonly [number, number]>,
): {readonly at0: number; readonly perUnit: number} => {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	let covariance = 0;
	let variance = 0;
	for (const [x, y] of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
	}

	const perUnit = covariance / variance;
	return {at0: meanY - perUnit * meanX, perUnit};
};
