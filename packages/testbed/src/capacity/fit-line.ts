/**
 * Fits a line through points by least squares; `intercept` is its value at 0.
 *
 * @example
 * const {intercept, slope} = fitLine([[20, 1.5], [60, 2], [180, 3.5]]);
 */
export const fitLine = (
	points: ReadonlyArray<readonly [number, number]>,
): {readonly intercept: number; readonly slope: number} => {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	let covariance = 0;
	let variance = 0;
	for (const [x, y] of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
	}

	const slope = covariance / variance;
	return {intercept: meanY - slope * meanX, slope};
};
