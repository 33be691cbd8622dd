#!/usr/bin/env node
import {createLog, createSystemClock, errorText, events} from '@medlarsaddle/core';
import {Node} from '../root/node.js';
import {describeSettings} from '../settings/describe-settings.js';
import {readSettings} from '../settings/read-settings.js';
import {version} from '../version.js';

const exitCodes = {ok: 0, failed: 1, badSettings: 2} as const;

const args = process.argv.slice(2);
const clock = createSystemClock();
const write = (line: string) => {
	process.stdout.write(line);
};

// Whoever read the log may go away; the node goes on without it.
process.stdout.on('error', () => {});

const printHelp = (): void => {
	write(
		`medlarsaddled ${version}\n\nUsage: medlarsaddled --node-id NAME --data-centre NAME [FLAGS]\n\n`,
	);
	for (const {flag, env, doc, fallback} of describeSettings()) {
		write(`  --${flag} (${env}; ${fallback === '' ? 'empty' : fallback})\n      ${doc}\n`);
	}

	write('  --print-settings\n      Prints the settings as they were read and ends\n');
};

const main = async (): Promise<number> => {
	if (args.includes('--help')) {
		printHelp();
		return exitCodes.ok;
	}

	const printOnly = args.includes('--print-settings');
	const settings = readSettings(
		args.filter(arg => arg !== '--print-settings'),
		process.env,
	);
	if (settings.isErr()) {
		const log = createLog({clock, level: 'error', write, base: {}});
		log(events.settingsRejected, {error: settings.error.message});
		return exitCodes.badSettings;
	}

	if (printOnly) {
		write(`${JSON.stringify(settings.value, undefined, '\t')}\n`);
		return exitCodes.ok;
	}

	const {nodeId, dataCentre, logLevel} = settings.value;
	const log = createLog({clock, level: logLevel, write, base: {node: nodeId, dataCentre}});
	const node = await Node.start({settings: settings.value, clock, log});
	let isStopping = false;
	const onSignal = () => {
		if (isStopping) {
			process.exit(exitCodes.failed);
		}

		isStopping = true;
		void node.stop();
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
	await node.ended;
	return exitCodes.ok;
};

try {
	process.exit(await main());
} catch (error) {
	write(`${JSON.stringify({level: 'error', text: errorText(error)})}\n`);
	process.exit(exitCodes.failed);
}
