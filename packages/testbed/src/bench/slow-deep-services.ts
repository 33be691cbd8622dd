import type {Fleet} from '../deploy/fleet.js';
import {deepServices} from './deep-services.js';

/**
 * Returns an action that slows the services at the end of the call chains by a factor.
 *
 * @example
 * const run = slowDeepServices(5);
 */
export const slowDeepServices =
	(slowFactor: number) =>
	async (fleet: Fleet): Promise<void> => {
		const hosts = fleet.hosts.filter(({service}) => deepServices.has(service));
		await Promise.all(hosts.map(async host => fleet.setUpstreamFaults(host, {slowFactor})));
	};
