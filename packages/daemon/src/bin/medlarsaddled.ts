#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import {
	type Fault,
	type Log,
	createLog,
	createSystemClock,
	errorText,
	events,
} from '@medlarsaddle/core';
import {
	Node,
	type Settings,
	describeSettings,
	readSettings,
	routeStrategy,
	version,
} from '@medlarsaddle/node';
import {attach, openStore, readPlatformSettings, upstreamProtocol} from '@medlarsaddle/platform';
import {type Result, ok} from 'neverthrow';
import {LogOutput} from '../log-output.js';
import {platformFlags} from '../platform-flags.js';

type Start = {
	readonly settings: Settings;
	readonly run: (log: Log) => Promise<Node>;
};

const exitCodes = {ok: 0, failed: 1, badSettings: 2} as const;
const platformFlag = '--platform';
const platformVariable = 'MEDLARSADDLE_SETTINGS';

/** Where metrics are served on the platform unless a variable names another port. */
const platformDefaults = Object.fromEntries([['MEDLARSADDLE_HTTP_PORT', '9464']]);

const args = process.argv.slice(2);
const clock = createSystemClock();
const output = LogOutput.create();

const printHelp = (): void => {
	output.write(
		`medlarsaddled ${version}\n\nUsage: medlarsaddled --node-id NAME --data-centre NAME [FLAGS]\n       medlarsaddled ${platformFlag} FILE\n\n`,
	);
	for (const {flag, env, doc, fallback} of describeSettings()) {
		output.write(`  --${flag} (${env}; ${fallback === '' ? 'empty' : fallback})\n      ${doc}\n`);
	}

	output.write(
		`  ${platformFlag} FILE (${platformVariable})\n      Takes the settings from the platform's file and speaks its protocol\n`,
	);
	output.write('  --print-settings\n      Prints the settings as they were read and ends\n');
};

/** A node by itself, with the settings that flags and variables give. */
const startAlone = (flags: readonly string[]): Result<Start, Fault> =>
	readSettings(flags, process.env).map(settings => ({
		settings,
		run: async log => Node.start({settings, clock, log, openStore}),
	}));

/** A node on the platform, with the settings that its file gives. */
const startOnPlatform = async (path: string): Promise<Result<Start, Fault>> => {
	const text = await readFile(path, 'utf8');
	return readPlatformSettings(text).andThen(platform =>
		readSettings(platformFlags(platform), {...platformDefaults, ...process.env}).andThen(settings =>
			ok({
				settings,
				run: async (log: Log) =>
					Node.start({
						settings,
						clock,
						log,
						protocol: upstreamProtocol,
						strategy: routeStrategy,
						attach: attach(platform),
					}),
			}),
		),
	);
};

const main = async (): Promise<number> => {
	if (args.includes('--help')) {
		printHelp();
		return exitCodes.ok;
	}

	const flagAt = args.indexOf(platformFlag);
	const path = flagAt === -1 ? process.env[platformVariable] : args[flagAt + 1];
	const start =
		path === undefined
			? startAlone(args.filter(arg => arg !== '--print-settings'))
			: await startOnPlatform(path);
	if (start.isErr()) {
		const log = createLog({clock, level: 'error', write: output.write, base: {}});
		log(events.settingsRejected, {path, error: start.error.message});
		return exitCodes.badSettings;
	}

	const {settings, run} = start.value;
	if (args.includes('--print-settings')) {
		output.write(`${JSON.stringify(settings, undefined, '\t')}\n`);
		return exitCodes.ok;
	}

	const {nodeId, dataCentre, logLevel} = settings;
	const base = {node: nodeId, dataCentre};
	const log = createLog({clock, level: logLevel, write: output.write, base});
	const node = await run(log);
	let isStopping = false;
	const stop = () => {
		if (!isStopping) {
			isStopping = true;
			void node.stop();
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', () => {
		// Who presses the keys again does not want to wait.
		if (isStopping) {
			end(exitCodes.failed);
		}

		stop();
	});
	// A changed file is read at the next start; what runs goes on.
	process.on('SIGHUP', () => {
		log(events.settingsChanged, {path});
	});
	await node.ended;
	return exitCodes.ok;
};

const end = (code: number): never => {
	output.end();
	process.exit(code);
};

const run = async (): Promise<void> => {
	try {
		end(await main());
	} catch (error) {
		output.write(`${JSON.stringify({level: 'error', text: errorText(error)})}\n`);
		end(exitCodes.failed);
	}
};

// A script, as which it is deployed, cannot await at its top level.
void run();
