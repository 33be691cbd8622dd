/**
 * A count of slots or connections scaled to the machine, at least 1.
 *
 * @example
 * scaled(60, 0.06); // 4
 */
export const scaled = (count: number, scale: number): number =>
	Math.max(1, Math.round(count * scale));
