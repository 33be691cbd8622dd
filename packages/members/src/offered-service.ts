/**
 * A service that the upstream of a member offers.
 *
 * @example
 * const offer: OfferedService = {service: 'payment', slots: 80, draining: false};
 */
export type OfferedService = {
	readonly service: string;
	/** Number of concurrent calls that the upstream announces; a hint only. */
	readonly slots: number;
	readonly draining: boolean;
};
