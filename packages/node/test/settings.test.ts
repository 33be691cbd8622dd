import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {events} from '@medlarsaddle/core';
import {describeSettings, readSettings} from '../src/index.js';

/** Reads a page without the spaces that the formatter pads table cells with. */
const readPage = async (name: string): Promise<string> => {
	const page = await readFile(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8');
	return page.replaceAll(/ +/gv, ' ');
};

const required = ['--node-id', 'a', '--data-centre', 'dc1'];

test('a flag overrides its environment variable, which overrides the default', () => {
	const env = Object.fromEntries([
		['MEDLARSADDLE_HTTP_PORT', '1'],
		['MEDLARSADDLE_PEER_PORT', '2'],
	]);
	const settings = readSettings([...required, '--http-port', '3'], env)._unsafeUnwrap();
	assert.equal(settings.httpPort, 3);
	assert.equal(settings.peerPort, 2);
	assert.equal(settings.operatorPort, 8082);
});

test('every invalid setting is reported at once, with its flag and variable', () => {
	const fault = readSettings(['--http-port', '70000', '--seeds', 'nowhere'], {})._unsafeUnwrapErr();
	for (const flag of ['--node-id', '--data-centre', '--http-port', '--seeds']) {
		assert.ok(fault.message.includes(flag), flag);
	}

	assert.ok(fault.message.includes('MEDLARSADDLE_DATA_CENTRE'));
});

test('an unknown flag is rejected with a pointer to --help', () => {
	const fault = readSettings([...required, '--colour', 'red'], {})._unsafeUnwrapErr();
	assert.match(fault.message, /--colour.*--help/v);
});

test('the settings page lists every setting as it is declared', async () => {
	const page = await readPage('SETTINGS.md');
	for (const {flag, env, doc, fallback} of describeSettings()) {
		const row = `| \`--${flag}\` | \`${env}\` | ${fallback} | ${doc} |`;
		assert.ok(page.includes(row.replaceAll(/ +/gv, ' ')), flag);
	}
});

test('the events page lists every event, with its level and text, and no other', async () => {
	const page = await readPage('EVENTS.md');
	const rows = page.split('\n').filter(line => line.startsWith('| MS'));
	const listed = rows.map(row => row.split(' | ').slice(0, 3).join(' | '));
	const expected = Object.values(events).map(
		({code, level, text}) => `| ${code} | ${level} | ${text}`,
	);
	assert.deepEqual(listed.toSorted(), expected.toSorted());
	assert.equal(new Set(expected).size, expected.length);
});
