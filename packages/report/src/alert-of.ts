import {alerts} from './alerts.js';

/** A pair of a long and a short window that both have to burn, by their places in `windows`. */
type Pair = {
	readonly long: number;
	readonly short: number;
	readonly rate: number;
	readonly alert: (typeof alerts)[keyof typeof alerts];
};

const pairs: readonly Pair[] = [
	{long: 1, short: 0, rate: 14.4, alert: alerts.fast},
	{long: 2, short: 1, rate: 6, alert: alerts.fast},
	{long: 3, short: 2, rate: 1, alert: alerts.slow},
];

/**
 * The alert that burn rates over `windows` call for. The short window of a pair ends the alert soon
 * after the trouble has ended.
 *
 * @example
 * alertOf([20, 15, 3, 0.4]); // 'fast'
 */
export const alertOf = (rates: readonly number[]): (typeof alerts)[keyof typeof alerts] =>
	pairs.find(({long, short, rate}) => (rates[long] ?? 0) >= rate && (rates[short] ?? 0) >= rate)
		?.alert ?? alerts.none;
