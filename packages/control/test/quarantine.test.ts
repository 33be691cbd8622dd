import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {Quarantine} from '../src/index.js';

const call = (fingerprint: string) => ({fingerprint, service: 'map', job: 'LOOK'});

test('a request in flight at two crashes is held back, others in flight with it are not', () => {
	const quarantine = Quarantine.create({clock: ManualClock.at(0)});
	quarantine.noteCrash('crash-1', [call('killer'), call('a'), call('b')]);
	assert.ok(!quarantine.isHeld('killer'));
	assert.ok(quarantine.isSuspect('a'));
	quarantine.noteCrash('crash-2', [call('killer'), call('c'), call('d')]);
	assert.ok(quarantine.isHeld('killer'));
	assert.deepEqual(
		['a', 'b', 'c', 'd'].filter(fingerprint => quarantine.isHeld(fingerprint)),
		[],
	);
});

test('reports of the same crash from several nodes count once', () => {
	const clock = ManualClock.at(0);
	const [firstNode, secondNode] = [Quarantine.create({clock}), Quarantine.create({clock})];
	const [suspect] = firstNode.noteCrash('crash-1', [call('x')]);
	assert.ok(secondNode.merge(suspect!));
	assert.ok(!secondNode.merge(suspect!));
	assert.ok(!secondNode.isHeld('x'));
});

test('entries expire, and a report cannot extend them beyond the maximum', async () => {
	const clock = ManualClock.at(0);
	const quarantine = Quarantine.create({clock, entryLifetimeMs: 1000});
	quarantine.merge({...call('x'), crashes: ['1', '2'], expiresMs: 1e12});
	assert.ok(quarantine.isHeld('x'));
	await clock.advance(1000);
	assert.ok(!quarantine.isHeld('x'));
	assert.deepEqual(quarantine.entries, []);
});
