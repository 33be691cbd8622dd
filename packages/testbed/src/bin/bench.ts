import {parseArgs} from 'node:util';
import {scenarios} from '../bench/scenarios.js';
import {deployments} from '../deploy/deployments.js';

const usage = `npm run bench -- --scenario NAME [--deployment hungary|luzon] [--seed N] [--scale F] [--baseline off|none] [--json]
npm run bench -- --list`;

const {values} = parseArgs({
	options: {
		scenario: {type: 'string', default: 'steady'},
		deployment: {type: 'string', default: 'hungary'},
		seed: {type: 'string', default: '1'},
		scale: {type: 'string', default: '0.06'},
		baseline: {type: 'string', default: 'off'},
		json: {type: 'boolean', default: false},
		list: {type: 'boolean', default: false},
	},
});

const run = async (): Promise<number> => {
	if (values.list) {
		for (const {name, description} of scenarios) {
			console.log(`${name}: ${description}`);
		}

		return 0;
	}

	const scenario = scenarios.find(({name}) => name === values.scenario);
	const deployment = deployments[values.deployment as keyof typeof deployments];
	if (!scenario || !deployment) {
		console.error(usage);
		return 2;
	}

	const [seed, scale] = [Number(values.seed), Number(values.scale)];
	const hasBaseline = values.baseline !== 'none';
	const {figures, bounds, baselineFigures} = await scenario.run({
		deployment,
		seed,
		scale,
		hasBaseline,
	});
	const held = Object.values(bounds).every(Boolean);
	const result = {
		scenario: scenario.name,
		deployment: deployment.name,
		seed,
		scale,
		figures,
		bounds,
		held,
		baselineFigures,
	};
	if (!values.json) {
		console.log(JSON.stringify({figures, baselineFigures}, undefined, '\t'));
		for (const [bound, isHeld] of Object.entries(bounds)) {
			console.log(`${isHeld ? 'held  ' : 'BROKEN'} ${bound}`);
		}
	}

	console.log(JSON.stringify(result));
	return held ? 0 : 1;
};

process.on('SIGTERM', () => process.exit(1));
process.on('SIGINT', () => process.exit(1));
process.exit(
	await run().catch((error: unknown) => {
		console.error(String(error));
		console.log(JSON.stringify({scenario: values.scenario, refused: String(error)}));
		return 3;
	}),
);
