import {createSystemClock} from '@medlarsaddle/core';
import {MemberTable, memberStates} from '@medlarsaddle/members';

const slots = 60;
const servicesPerDataCentre = 70;

/**
 * Creates a member table of a given size, as after a full synchronization.
 *
 * @example
 * const table = memberTableOf(938);
 */
export const memberTableOf = (count: number): MemberTable => {
	const table = MemberTable.create(createSystemClock());
	for (let index = 0; index < count; index++) {
		table.merge({
			id: `dc1-${index}`,
			dataCentre: 'dc1',
			group: 'dc1',
			host: `10.0.${index % 250}.${index % 200}`,
			peerPort: 8081,
			httpPort: 8080,
			incarnation: index,
			version: 1,
			state: memberStates.alive,
			offers: [{service: `service-${index % servicesPerDataCentre}`, slots, draining: false}],
		});
	}

	return table;
};
