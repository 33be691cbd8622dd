import {alerts} from './alerts.js';

/** A long and a short window, as indexes into `burnWindows`; both must reach the rate. */
type WindowPair = {
	readonly long: number;
	readonly short: number;
	readonly minRate: number;
	readonly alert: (typeof alerts)[keyof typeof alerts];
};

const windowPairs: readonly WindowPair[] = [
	{long: 1, short: 0, minRate: 14.4, alert: alerts.fast},
	{long: 2, short: 1, minRate: 6, alert: alerts.fast},
	{long: 3, short: 2, minRate: 1, alert: alerts.slow},
];

/**
 * Returns the alert for the burn rates over `burnWindows`. The short window of each pair ends the
 * alert soon after the cause is gone.
 *
 * @example
 * alertOf([20, 15, 3, 0.4]); // 'fast'
 */
export const alertOf = (rates: readonly number[]): (typeof alerts)[keyof typeof alerts] =>
	windowPairs.find(
		({long, short, minRate}) => (rates[long] ?? 0) >= minRate && (rates[short] ?? 0) >= minRate,
	)?.alert ?? alerts.none;
