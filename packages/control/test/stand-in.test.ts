import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {StandIn} from '../src/stand-in.js';

const boundMs = 2000;

const createStandIn = (clock: ManualClock, seed = 1, hosts = 20) =>
	StandIn.create({clock, random: createRandom(seed), boundMs, hostCount: () => hosts});

/** Advances the clock until a try is due, and returns the milliseconds that took. */
const timeUntilTry = async (clock: ManualClock, standIn: StandIn) => {
	const startMs = clock.monotonic();
	while (!standIn.isTryDue) {
		await clock.advance(10);
	}

	return clock.monotonic() - startMs;
};

test('a host that hears of no reader leaves too little of the bound to read', async () => {
	for (let seed = 0; seed < 50; seed++) {
		const clock = ManualClock.at(0);
		assert.ok((await timeUntilTry(clock, createStandIn(clock, seed))) <= boundMs * 0.75);
	}
});

test('a host calls the source while a reader is heard of', async () => {
	const clock = ManualClock.at(0);
	const standIn = createStandIn(clock);
	for (let beats = 0; beats < 20; beats++) {
		await clock.advance(boundMs / 4);
		assert.equal(standIn.isTryDue, false);
		standIn.noteReader();
	}
});

test('all hosts call the source at the same moment when a reader has lost it', async () => {
	const clock = ManualClock.at(0);
	const hosts = 5000;
	const due = [];
	for (let seed = 0; seed < 200; seed++) {
		const standIn = createStandIn(clock, seed, hosts);
		standIn.noteDoubt();
		due.push(standIn.waitMs);
	}

	const inTheFirstTenth = due.filter(ms => ms < (hosts * 0.7) / 10).length;
	assert.ok(inTheFirstTenth < 200 / 4, `${inTheFirstTenth} of 200`);
});

test('hosts that were paused together call the source as they wake', async () => {
	const clock = ManualClock.at(0);
	const standIn = createStandIn(clock);
	await clock.advance(10_000);
	assert.equal(standIn.isTryDue, false);
	assert.ok((await timeUntilTry(clock, standIn)) <= boundMs / 4);
});

test('a source that answers nobody is called by each host at the same rate for ever', async () => {
	const clock = ManualClock.at(0);
	const standIn = createStandIn(clock);
	let tries = 0;
	while (clock.monotonic() < 60_000) {
		await timeUntilTry(clock, standIn);
		standIn.noteUnanswered();
		tries++;
	}

	assert.ok(tries <= 20, `${tries} tries in a minute`);
	assert.equal(standIn.isActive, false);
});

test('a host goes on reading in place of readers that are back', () => {
	const standIn = createStandIn(ManualClock.at(0));
	standIn.noteAnswered();
	assert.equal(standIn.isActive, true);
	standIn.noteReader();
	assert.equal(standIn.isActive, false);
});
