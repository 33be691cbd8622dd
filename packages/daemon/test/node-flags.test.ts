import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readSettings} from '@medlarsaddle/node';
import {readPlatformSettings} from '@medlarsaddle/platform';
import {nodeFlags} from '../src/index.js';

const settingsOf = (graceS: number) => {
	const address = '127.0.0.1:0';
	const text = JSON.stringify({
		nodeName: 'a',
		ip: '127.0.0.1',
		zone: 'dc1',
		region: 'r',
		listen: {outbound: address, ready: address, control: address},
		portRange: [7000, 7001],
		appAddr: address,
		bounds: [`graceS=${graceS}`],
		platform: {address},
	});
	const platform = readPlatformSettings(text)._unsafeUnwrap();
	return readSettings(nodeFlags(platform), {})._unsafeUnwrap();
};

// Fixed times fit one stop time only: with 3 s the process ended before calls that it had let in.
for (const graceS of [1, 2, 3, 6, 15, 60]) {
	test(`a stop within ${graceS} s ends too late, or cuts calls that still had time`, () => {
		const {noticeMs, stopSeconds} = settingsOf(graceS);
		const endMs = noticeMs + stopSeconds * 1000;
		const graceMs = graceS * 1000;
		assert.ok(endMs < graceMs, String(endMs));
		assert.ok(endMs >= (graceMs * 5) / 6, String(endMs));
		assert.ok(noticeMs > 0 && noticeMs <= graceMs / 2, String(noticeMs));
	});
}
