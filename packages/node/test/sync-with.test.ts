import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Gossip, Member} from '@medlarsaddle/members';
import type {Message} from '@medlarsaddle/wire';
import type {Config} from '../src/config/config.js';
import type {Peers} from '../src/peers/peers.js';
import {syncWith} from '../src/peers/sync-with.js';

const places = {
	here: {group: 'g1', dataCentre: 'dc1'},
	'another data centre of the group': {group: 'g1', dataCentre: 'dc2'},
	'another group': {group: 'g2', dataCentre: 'dc3'},
} as const;

const cases = [
	['here', true],
	['another data centre of the group', true],
	['another group', false],
] as const;

for (const [place, wantsMembers] of cases) {
	test(`a member (${place}) is asked for ${wantsMembers ? 'its' : 'no'} member table`, async () => {
		const sentMessages: Message[] = [];
		const mergedMembers: unknown[] = [];
		const remoteMembers = [{id: 'x'}];
		const peers = {
			async request(_member: Member, build: (id: number) => Message) {
				sentMessages.push(build(1));
				return {type: 'synced', id: 1, sections: [], members: remoteMembers} as const;
			},
		} as unknown as Peers;
		const gossip = {
			self: places.here,
			mergeMembers: (members: readonly Member[]) => mergedMembers.push(...members),
		} as unknown as Gossip;
		const config = {versions: {}} as unknown as Config;
		await syncWith({peers, config, gossip}, {id: 'b', ...places[place]} as Member);
		assert.deepEqual(sentMessages, [{type: 'sync', id: 1, versions: {}, wantsMembers}]);
		assert.deepEqual(mergedMembers, remoteMembers);
	});
}
