import {readFile, writeFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {capacityTables} from '../capacity/capacity-tables.js';
import {readResults} from '../capacity/read-results.js';

const usage = 'npm run capacity -- RESULT.json ... [--write docs/CAPACITY.md]';
const beginMarker = '<!-- tables: begin -->';
const endMarker = '<!-- tables: end -->';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {write: {type: 'string'}},
});
if (positionals.length === 0) {
	console.error(usage);
	process.exit(2);
}

const tables = capacityTables(
	readResults(await Promise.all(positionals.map(async path => readFile(path, 'utf8')))),
);
if (values.write === undefined) {
	console.log(tables);
} else {
	const page = await readFile(values.write, 'utf8');
	const [head] = page.split(beginMarker);
	const [, tail] = page.split(endMarker);
	await writeFile(values.write, `${head}${beginMarker}\n\n${tables}\n${endMarker}${tail}`);
}
