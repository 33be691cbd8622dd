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
import {createErrorGuard} from '../error-guard.js';
import {LogOutput} from '../log-output.js';
import {nodeFlags} from '../node-flags.js';

type PreparedNode = {
	readonly settings: Settings;
	readonly startNode: (log: Log) => Promise<Node>;
};

const exitCodes = {ok: 0, failed: 1, badSettings: 2} as const;
const platformFlag = '--platform';
const platformVariable = 'MEDLARSADDLE_SETTINGS';

/** Port of the metrics on the platform, unless the environment sets another one. */
const platformDefaults = Object.fromEntries([['MEDLARSADDLE_HTTP_PORT', '9464']]);

/** Interval at which dropped log lines are reported. */
const dropReportMs = 1000;

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

/** Prepares a standalone node with the settings from flags and environment variables. */
const prepareStandalone = (flags: readonly string[]): Result<PreparedNode, Fault> =>
	readSettings(flags, process.env).map(settings => ({
		settings,
		startNode: async log => Node.start({settings, clock, log, openStore}),
	}));

/** Prepares a node on the platform with the settings from its file. */
const prepareOnPlatform = async (path: string): Promise<Result<PreparedNode, Fault>> => {
	const text = await readFile(path, 'utf8');
	return readPlatformSettings(text).andThen(platform =>
		readSettings(nodeFlags(platform), {...platformDefaults, ...process.env}).andThen(settings =>
			ok({
				settings,
				startNode: async (log: Log) =>
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

	const flagIndex = args.indexOf(platformFlag);
	const path = flagIndex === -1 ? process.env[platformVariable] : args[flagIndex + 1];
	const prepared =
		path === undefined
			? prepareStandalone(args.filter(arg => arg !== '--print-settings'))
			: await prepareOnPlatform(path);
	if (prepared.isErr()) {
		const log = createLog({clock, level: 'error', write: output.write, base: {}});
		log(events.settingsRejected, {path, error: prepared.error.message});
		return exitCodes.badSettings;
	}

	const {settings, startNode} = prepared.value;
	if (args.includes('--print-settings')) {
		output.write(`${JSON.stringify(settings, undefined, '\t')}\n`);
		return exitCodes.ok;
	}

	const {nodeId, dataCentre, logLevel} = settings;
	const base = {node: nodeId, dataCentre};
	const log = createLog({clock, level: logLevel, write: output.write, base});
	const guard = createErrorGuard({
		clock,
		log,
		giveUp() {
			exit(exitCodes.failed);
		},
	});
	process.on('uncaughtException', guard);
	process.on('unhandledRejection', guard);
	setInterval(() => {
		const count = output.takeDropped();
		if (count > 0) {
			log(events.logLinesDropped, {count});
		}
	}, dropReportMs).unref();
	const node = await startNode(log);
	let isStopping = false;
	const stop = () => {
		if (!isStopping) {
			isStopping = true;
			void node.stop();
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', () => {
		// A second interrupt ends the process without waiting for the drain.
		if (isStopping) {
			exit(exitCodes.failed);
		}

		stop();
	});
	// A changed settings file takes effect only at the next start.
	process.on('SIGHUP', () => {
		log(events.settingsChanged, {path});
	});
	await node.ended;
	return exitCodes.ok;
};

const exit = (code: number): never => {
	output.flushSync();
	process.exit(code);
};

const run = async (): Promise<void> => {
	try {
		exit(await main());
	} catch (error) {
		output.write(`${JSON.stringify({level: 'error', text: errorText(error)})}\n`);
		exit(exitCodes.failed);
	}
};

// The program is deployed as a CommonJS script, which has no top-level await.
void run();
