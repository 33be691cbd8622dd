import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {type ObjectStore, Shard} from '@medlarsaddle/records';
import {ok} from 'neverthrow';
import type {Config} from '../src/config/config.js';
import {StoreHealth} from '../src/config/store-health.js';
import {watchShard} from '../src/config/watch-shard.js';

const name = Shard.nameFor('base');
const section = (version: number) => ({
	name: 'base',
	version,
	changeId: `change-${version}`,
	author: 'duty',
	atMs: 0,
	text: 'kind: base\n',
});

test('a section that a restore has lost does not stay lost', async () => {
	const clock = ManualClock.at(0);
	const abort = new AbortController();
	const held = new Map([['base', section(3)]]);
	const config = {
		policy: {sections: held},
		apply: () => false,
	} as unknown as Config;
	let stored = Shard.of(undefined).with(section(2));
	const position = {era: 2, revision: 7};
	const store = {
		get: async () => ok({position, value: stored}),
		async put(_name: string, value: unknown) {
			stored = Shard.of(value);
			return ok({...position, revision: 8});
		},
		async watch() {
			await clock.sleep(1000);
			return ok(undefined);
		},
	} as unknown as ObjectStore;
	const task = watchShard(
		{
			store,
			clock,
			random: createRandom(1),
			log() {},
			config,
			health: StoreHealth.create(),
			isReader: () => true,
		},
		name,
	)(abort.signal, () => {});
	await clock.advance(5000);
	abort.abort();
	await clock.advance(5000);
	await task.catch(() => {});
	assert.equal(stored.sections.base?.version, 3);
});
