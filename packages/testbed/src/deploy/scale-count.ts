/**
 * Scales a number of slots or connections to the size of the machine, with a minimum of 1.
 *
 * @example
 * scaleCount(60, 0.06); // 4
 */
export const scaleCount = (count: number, scale: number): number =>
	Math.max(1, Math.round(count * scale));
