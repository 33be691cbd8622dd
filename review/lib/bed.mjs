import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Platform} from '../../packages/testbed/dist/src/platform/platform.js';
import {Endpoint} from './endpoint.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const runCommand = /^run = "(.+)"$/m.exec(deployFile)[1].split(' ');
const bounds = {
	seedLagS: 3,
	reuseAfterS: 2,
	stableWindowMs: 3000,
	ackMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 2000,
	regressionWindowMs: 250,
	maxStretchMs: 5000,
	retryBudgetRatio: 0.2,
	budgetWindowS: 10,
	retryBudgetSlack: 48,
	recoverS: 15,
};
const maxLoggedLines = 400;

const sleep = async ms =>
	new Promise(resolve => {
		setTimeout(resolve, ms);
	});

const freePorts = async (ip, count) => {
	const servers = await Promise.all(
		Array.from(
			{length: count},
			async () =>
				new Promise(resolve => {
					const server = net.createServer().listen(0, ip, () => {
						resolve(server);
					});
				}),
		),
	);
	const ports = servers.map(server => server.address().port);
	await Promise.all(
		servers.map(
			async server =>
				new Promise(resolve => {
					server.close(resolve);
				}),
		),
	);
	return ports;
};

/**
 * A small deployment on loopback addresses: the store, and machines with the project's own process,
 * an endpoint and clients. What is sent, answered and run goes to the record.
 */
export class Bed {
	static async start(folder) {
		const store = await Platform.start();
		return new Bed(folder, store);
	}

	machines = [];
	startMs = performance.now();
	lines = [];
	net8 = 16 + Math.floor(Math.random() * 200);
	net16 = Math.floor(Math.random() * 250);

	constructor(folder, store) {
		this.folder = folder;
		this.store = store;
		this.temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
		process.on('exit', () => {
			for (const {child} of this.machines) {
				child?.kill('SIGKILL');
			}

			rmSync(this.temporary, {recursive: true, force: true});
		});
		// The record is kept also when a case is cut off.
		const guard = setTimeout(() => {
			this.note('the case took too long');
			this.finish(2);
		}, 115_000);
		guard.unref();
	}

	/** Milliseconds since the start of the case. */
	get nowMs() {
		return Math.round(performance.now() - this.startMs);
	}

	note(text) {
		this.lines.push(`${String(this.nowMs).padStart(6)} ms  ${text}`);
	}

	/** Writes the configuration as the operator does. */
	configure(routes, services) {
		this.store.write('config', 'main', {
			version: 7,
			limits: {
				maxHeaderBytes: 16_384,
				maxBodyBytes: 67_108_864,
				headerTimeoutMs: 3000,
				idleTimeoutMs: 15_000,
			},
			baseVersion: 5,
			listeners: [
				{
					host: 'shop.example',
					rules: routes.map(
						({prefix, kind = 'idempotent', service, timeoutMs = 5000, attempts = 2}) => ({
							name: `r-${prefix.replaceAll('/', '')}`,
							routeKind: kind,
							targetLatencyMs: 1500,
							priority: 1,
							match: {pathPrefix: prefix},
							action: {service, timeoutMs, attempts},
						}),
					),
				},
			],
			clusters: services.map(name => ({
				name,
				healthPath: '/health',
				maxConns: 500,
				protocol: 'h1',
				tls: false,
			})),
		});
	}

	/** Adds a machine with an endpoint, whose behaviour `opts` may change. */
	async addMachine(service, opts = {}) {
		const number = this.machines.length + 1;
		const ip = `127.${this.net8}.${this.net16}.${number}`;
		const [inbound, outbound, ready, control, peer, app] = await freePorts(ip, 6);
		const machine = {
			name: `sidecar-${number}`,
			ip,
			service,
			outbound,
			ready,
			control,
			endpoint: undefined,
			child: undefined,
			ended: undefined,
			logs: [],
		};
		machine.endpoint = await Endpoint.start({
			bed: this,
			service,
			ip,
			port: app,
			control,
			id: `i-${number}`,
			...opts,
		});
		const settings = {
			nodeName: machine.name,
			role: 'sidecar',
			machineClass: 'sidecar',
			serves: ['sidecar'],
			ip,
			zone: opts.zone ?? 'kozep-a',
			region: 'hu-kozep',
			zones: {'kozep-a': 'hu-kozep', 'kozep-b': 'hu-kozep'},
			listen: {
				inbound: `${ip}:${inbound}`,
				outbound: `${ip}:${outbound}`,
				ready: `${ip}:${ready}`,
				control: `${ip}:${control}`,
			},
			portRange: [peer, peer],
			seeds: [],
			bootstrap: false,
			lossCounts: false,
			limits: {cpuShare: 0.54, cores: 2, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0},
			dataDir: null,
			discovery: 'static',
			entry: 'static',
			heartbeatMs: 1500,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'pressure', 'platform'],
			faultTolerance: {machines: 1, zones: 1, regions: 0},
			bounds: Object.entries(bounds).map(([name, value]) => `${name}=${value}`),
			appAddr: `${ip}:${app}`,
			service,
			platform: {
				address: this.store.url.replace('http://', ''),
				form: 'objects',
				writesPerS: 400,
				readsPerS: 2000,
				historyS: 20,
				valueBytes: 1_048_576,
				ttlMinMs: 1000,
			},
		};
		machine.settingsFile = path.join(this.temporary, `${machine.name}.json`);
		writeFileSync(machine.settingsFile, JSON.stringify(settings));
		this.machines.push(machine);
		return machine;
	}

	/** Starts the process of a machine with the command of the deploy file. */
	startProcess(machine) {
		const [program, ...args] = runCommand;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				MEDLARSADDLE_SETTINGS: machine.settingsFile,
			},
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				machine.logs.push(...String(chunk).split('\n').filter(Boolean));
				machine.logs.splice(0, machine.logs.length - maxLoggedLines);
			});
		}

		machine.child = child;
		machine.ended = undefined;
		child.once('exit', (code, signal) => {
			machine.ended = {code, signal, atMs: this.nowMs};
			this.note(`process of ${machine.name} ended: code ${code}, signal ${signal}`);
		});
		this.note(`process of ${machine.name} started, ${machine.service} at ${machine.ip}`);
	}

	/** Starts all processes and waits until all say that they are ready and each route is served. */
	async startAll(paths) {
		for (const machine of this.machines) {
			this.startProcess(machine);
			machine.endpoint.startBeats();
		}

		for (const machine of this.machines) {
			await this.untilReady(machine);
		}

		for (const machine of this.machines) {
			for (const probe of paths) {
				await this.untilServed(machine, probe);
			}
		}

		this.note('all machines are ready and serve all routes');
	}

	async untilReady(machine) {
		await this.until(`${machine.name} ready`, async () => {
			try {
				const answer = await fetch(`http://${machine.ip}:${machine.ready}/-/ready`);
				return answer.status === 200;
			} catch {
				return false;
			}
		});
	}

	async untilServed(machine, probe) {
		await this.until(`${probe} served at ${machine.name}`, async () => {
			const {status} = await this.send(machine, {path: probe, isQuiet: true});
			return status === 200;
		});
	}

	async until(what, isTrue, maxMs = 25_000) {
		const endMs = this.nowMs + maxMs;
		while (!(await isTrue())) {
			if (this.nowMs > endMs) {
				throw new Error(`not reached: ${what}`);
			}

			await sleep(50);
		}
	}

	sleep = sleep;
	requestCount = 0;

	/** Opens a connection of a client to the process of its machine. */
	async connect(machine) {
		return new Promise((resolve, reject) => {
			const socket = net.connect({host: machine.ip, port: machine.outbound, noDelay: true});
			socket.once('error', reject);
			socket.once('connect', () => {
				socket.off('error', reject);
				socket.on('error', () => {});
				resolve(socket);
			});
		});
	}

	/**
	 * Sends one request of a client and waits for its answer for as long as the client does. The
	 * status is 0 where there is none.
	 */
	async send(
		machine,
		{
			method = 'GET',
			path: target,
			body = '',
			budgetMs = 6000,
			leavesMs = budgetMs,
			isQuiet = false,
			connection,
			headers = [],
		},
	) {
		this.requestCount++;
		const id = `a${this.requestCount.toString(16).padStart(15, '0')}`;
		const sentMs = this.nowMs;
		const done = (status, how, answer = '') => {
			const result = {id, status, how, answer, sentMs, answeredMs: this.nowMs};
			if (!isQuiet) {
				this.note(
					`client of ${machine.name}: ${method} ${target} ${id} sent at ${sentMs} ms: ${status === 0 ? how : `answer ${status}`}`,
				);
			}

			return result;
		};

		let socket;
		try {
			socket = connection ?? (await this.connect(machine));
		} catch (error) {
			return done(0, `no connection (${error.code})`);
		}

		return new Promise(resolve => {
			let received = Buffer.alloc(0);
			const settle = (status, how, answer) => {
				clearTimeout(timer);
				socket.off('data', onData);
				socket.off('close', onClose);
				if (!connection || status === 0) {
					socket.destroy();
				}

				resolve(done(status, how, answer));
			};

			const onClose = () => {
				settle(0, 'connection closed without an answer');
			};

			const onData = chunk => {
				received = Buffer.concat([received, chunk]);
				const headEnd = received.indexOf('\r\n\r\n');
				if (headEnd === -1) {
					return;
				}

				const head = received.subarray(0, headEnd).toString('latin1');
				const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
				if (received.length >= headEnd + 4 + length) {
					settle(Number(head.split(' ')[1]), 'answered', received.subarray(headEnd + 4).toString());
				}
			};

			const timer = setTimeout(() => {
				settle(0, `no answer within the client's ${leavesMs} ms`);
			}, leavesMs);
			socket.on('data', onData);
			socket.on('close', onClose);
			const length = body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`];
			const lines = [
				`${method} ${target} HTTP/1.1`,
				'Host: shop.example',
				`Attempt-Id: ${id}`,
				`Deadline-Ms: ${budgetMs}`,
				...headers,
				...length,
			];
			socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
		});
	}

	/** Writes the record, ends all processes and exits. */
	finish(code) {
		const verdicts = ['the rule held', 'the rule was broken', 'the case could not run'];
		this.note(verdicts[code]);
		writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
		console.log(`${this.lines.slice(-6).join('\n')}`);
		// eslint-disable-next-line unicorn/no-process-exit -- a case is a program of its own
		process.exit(code);
	}
}
