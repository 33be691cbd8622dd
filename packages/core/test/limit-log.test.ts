import assert from 'node:assert/strict';
import {test} from 'node:test';
import {events} from '../src/events.js';
import {limitLog} from '../src/limit-log.js';
import {ManualClock} from '../src/manual-clock.js';

// A caller that repeats a wrong request would otherwise push the lines of others out of the log.
test('lines beyond the limit are counted, and the count is logged when the period ends', async () => {
	const clock = ManualClock.at(0);
	const lines: unknown[] = [];
	const log = limitLog({
		log: (event, fields) => lines.push([event.code, fields]),
		clock,
		maxLines: 2,
		periodMs: 1000,
	});
	for (let line = 1; line <= 5; line++) {
		log(events.requestRejected, {line});
	}

	log(events.requestEnded, {line: 6});
	const {code} = events.requestRejected;
	const firstLines = [
		[code, {line: 1}],
		[code, {line: 2}],
		[events.requestEnded.code, {line: 6}],
	];
	assert.deepEqual(lines, firstLines);
	await clock.advance(1000);
	assert.deepEqual(lines, [...firstLines, [code, {omitted: 3}]]);
	log(events.requestRejected, {line: 7});
	await clock.advance(1000);
	assert.deepEqual(lines, [...firstLines, [code, {omitted: 3}], [code, {line: 7}]]);
});
