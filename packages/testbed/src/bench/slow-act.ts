import type {Fleet} from '../deploy/fleet.js';
import {deepServices} from './deep-services.js';

/**
 * Makes the services at the end of the chains slower by a factor.
 *
 * @example
 * const act = slowAct(5);
 */
export const slowAct =
	(slowFactor: number) =>
	async (fleet: Fleet): Promise<void> => {
		const deep = fleet.hosts.filter(({service}) => deepServices.has(service));
		await Promise.all(deep.map(async host => fleet.fault(host, {slowFactor})));
	};
