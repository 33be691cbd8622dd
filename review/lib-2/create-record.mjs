import {appendFileSync, writeFileSync} from 'node:fs';

/**
 * Creates a record file of what was sent, answered and run, one line for each event.
 *
 * @example
 * const note = createRecord('record.txt');
 * note('sent', {id: 'a1'});
 */
export const createRecord = path => {
	const startMs = performance.now();
	writeFileSync(path, '');
	return (event, fields = {}) => {
		const seconds = ((performance.now() - startMs) / 1000).toFixed(3);
		const text = Object.entries(fields)
			.map(([name, value]) => `${name}=${value}`)
			.join(' ');
		appendFileSync(path, `${seconds} ${event} ${text}\n`);
	};
};
