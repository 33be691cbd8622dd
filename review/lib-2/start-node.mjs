import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** The command of the role in the deploy file. */
const command = /^run = "(.*)"$/mv
	.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1]
	.split(' ');

/** Bounds and limits of the site `lgsz-piac`. */
const bounds = [
	'seedLagS=3',
	'reuseAfterS=2',
	'stableWindowMs=3000',
	'ackMs=4000',
	'catchUpS=4',
	'drainMs=2000',
	'graceS=6',
	'lossSlackMs=200',
	'configApplyMs=2000',
	'regressionWindowMs=250',
	'maxStretchMs=5000',
	'retryBudgetRatio=0.2',
	'budgetWindowS=10',
	'retryBudgetSlack=48',
	'recoverS=15',
];
const limits = {cpuShare: 0.54, cores: 2, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0};

/**
 * Starts the program of the role as the platform does, on the loopback address `ip`. Its log goes to
 * a temporary file.
 *
 * @example
 * const node = startNode({name: 'a', ip: '127.1.0.1', zone: 'z', service: 'pay', storeAddress, ports});
 */
export const startNode = ({name, ip, zone, service, storeAddress, ports, isFirstStart = true}) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'review-2-'));
	const file = path.join(folder, 'settings.json');
	const settings = {
		nodeName: name,
		role: 'sidecar',
		machineClass: 'sidecar',
		serves: ['sidecar'],
		ip,
		zone,
		region: 'region-1',
		zones: {[zone]: 'region-1'},
		listen: {
			inbound: `${ip}:${ports.inbound}`,
			outbound: `${ip}:${ports.outbound}`,
			ready: `${ip}:${ports.ready}`,
			control: `${ip}:${ports.control}`,
		},
		portRange: [ports.peer, ports.peer + 9],
		seeds: [],
		bootstrap: isFirstStart,
		lossCounts: false,
		limits,
		dataDir: null,
		discovery: 'static',
		entry: 'static',
		heartbeatMs: 1500,
		contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'pressure', 'platform'],
		faultTolerance: {machines: 1, zones: 1, regions: 0},
		bounds,
		appAddr: `${ip}:${ports.app}`,
		service,
		platform: {
			address: storeAddress,
			form: 'objects',
			writesPerS: 400,
			readsPerS: 2000,
			historyS: 20,
			valueBytes: 1_048_576,
			ttlMinMs: 1000,
		},
	};
	writeFileSync(file, JSON.stringify(settings));
	const [program, ...args] = command;
	const {PATH, HOME} = process.env;
	const child = spawn(program, args, {
		cwd: root,
		env: Object.fromEntries([
			['PATH', PATH],
			['HOME', HOME ?? '/'],
			['MEDLARSADDLE_SETTINGS', file],
		]),
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const logFile = process.env.REVIEW_LOGS && path.join(process.env.REVIEW_LOGS, `${name}.log`);
	const log = logFile ? createWriteStream(logFile, {flags: 'a'}) : undefined;
	for (const stream of [child.stdout, child.stderr]) {
		stream.on('data', bytes => log?.write(bytes));
	}

	const exited = once(child, 'exit');
	let exitMs;
	child.on('exit', () => {
		exitMs = performance.now();
	});
	return {
		name,
		pid: child.pid,
		exited,
		get exitMs() {
			return exitMs;
		},
		signal(signal) {
			child.kill(signal);
		},
		async stop() {
			if (exitMs === undefined) {
				child.kill('SIGKILL');
				await exited;
			}

			rmSync(folder, {recursive: true, force: true});
		},
	};
};
