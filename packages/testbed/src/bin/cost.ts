import {parseArgs} from 'node:util';
import {measureCost} from '../cost/measure-cost.js';
import {programs} from '../deploy/programs.js';

const {values} = parseArgs({
	options: {
		daemon: {type: 'string', multiple: true, default: [programs.daemon]},
		flag: {type: 'string', multiple: true, default: []},
		rates: {type: 'string', default: '5,25,100'},
		seconds: {type: 'string', default: '8'},
	},
});
const rates = values.rates.split(',').map(Number);
console.log(
	`| daemon | start, ms | idle, ms/s | ${rates.map(rate => `request at ${rate}/s, ms`).join(' | ')} | memory, MB |`,
);
console.log(`| --- | --- | --- | ${rates.map(() => '---').join(' | ')} | --- |`);
for (const daemon of values.daemon) {
	const {startMs, idleMsPerS, perRequestMs, memoryMb} = await measureCost({
		daemon,
		flags: values.flag,
		rates,
		phaseMs: Number(values.seconds) * 1000,
	});
	const figures = [startMs, idleMsPerS, ...perRequestMs, memoryMb].map(value => value.toFixed(2));
	console.log(`| ${daemon} | ${figures.join(' | ')} |`);
}
