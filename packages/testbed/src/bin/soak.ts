import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {createSystemClock} from '@medlarsaddle/core';
import {Soak} from '../soak/soak.js';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '1'},
		from: {type: 'string', default: '1'},
		hosts: {type: 'string', default: '6'},
		callers: {type: 'string', default: '4'},
		seconds: {type: 'string', default: '20'},
		output: {type: 'string', default: 'target/soak'},
	},
});
const firstSeed = Number(values.from);
const seedCount = Number(values.seeds);
const clock = createSystemClock();
let failedSeeds = 0;

process.on('SIGTERM', () => process.exit(1));
process.on('SIGINT', () => process.exit(1));
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
	const {violations, steps, record, logs} = await Soak.run({
		clock,
		seed,
		hosts: Number(values.hosts),
		callersPerHost: Number(values.callers),
		lengthMs: Number(values.seconds) * 1000,
	});
	const served = record.sent.filter(({status}) => status === 200).length;
	console.log(
		`seed ${seed}: ${steps.length} steps, ${record.sent.length} requests, ${served} served, ${record.runs.length} runs, ${violations.length} broken`,
	);
	if (violations.length > 0) {
		failedSeeds++;
		const folder = path.join(values.output, `seed-${seed}`);
		await mkdir(folder, {recursive: true});
		const {versions, ...rest} = record;
		const result = {
			broken: violations,
			steps,
			record: {...rest, versions: Object.fromEntries(versions)},
		};
		await writeFile(path.join(folder, 'found.json'), JSON.stringify(result, undefined, '\t'));
		for (const [host, lines] of logs) {
			const text = lines.map(line => JSON.stringify(line)).join('\n');
			await writeFile(path.join(folder, `${host}.log`), text);
		}

		console.log(violations.map(line => `  ${line}`).join('\n'));
		console.log(`  logs and record in ${folder}`);
	}
}

console.log(`${seedCount} seeds, ${failedSeeds} failed`);
process.exitCode = failedSeeds === 0 ? 0 : 1;
