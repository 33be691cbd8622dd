import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {readProcessUsage} from '../bench/read-process-usage.js';
import {RoutedHost} from '../harness/routed-host.js';
import {Platform} from '../platform/platform.js';
import {soakConfiguration} from '../soak/soak-configuration.js';
import type {Cost} from './cost.js';

type Opts = {
	/** Script of the daemon. */
	readonly daemon: string;
	/** Flags of Node.js with which it runs. */
	readonly flags: readonly string[];
	/** Requests per second at each host, one phase for each. */
	readonly rates: readonly number[];
	readonly phaseMs: number;
};

const services = ['catalogue', 'payment'];
const hostsPerService = 2;
const upstreamMs = 20;
const reportMs = 1000;

/** Time for a deployment to settle after its start, before it is measured. */
const settleMs = 4000;

/**
 * Measures what a daemon costs as the node of a small deployment on the platform: processor time of
 * its start, of an idle second and of a request, and memory under load.
 *
 * @example
 * const cost = await measureCost({daemon, flags: [], rates: [5, 25, 100], phaseMs: 10_000});
 */
export const measureCost = async ({daemon, flags, rates, phaseMs}: Opts): Promise<Cost> => {
	const platform = await Platform.start();
	platform.write('config', 'main', soakConfiguration.of(1));
	const hosts = await Promise.all(
		Array.from({length: services.length * hostsPerService}, async (_, index) =>
			RoutedHost.start({
				id: `host-${index}`,
				dataCentre: 'dc1',
				service: services[index % services.length]!,
				storeUrl: platform.url,
				daemon: {script: daemon, flags},
			}),
		),
	);
	const agent = new Agent({connections: 16});
	const abort = new AbortController();
	const reports = reportUntil(hosts, abort.signal);
	try {
		for (const {upstream} of hosts) {
			upstream.handler = (req, res) => {
				setTimeout(upstream.answer, upstreamMs, req, res);
			};
		}

		const startMs = (await cpuMsOf(hosts)) / hosts.length;
		await sleep(settleMs);
		const idleBeforeMs = await cpuMsOf(hosts);
		await sleep(phaseMs);
		const idleMsPerS = ((await cpuMsOf(hosts)) - idleBeforeMs) / hosts.length / (phaseMs / 1000);
		const perRequestMs: number[] = [];
		for (const rate of rates) {
			const beforeMs = await cpuMsOf(hosts);
			const sent = await sendAtRate(hosts, agent, rate, phaseMs);
			const idleShareMs = idleMsPerS * hosts.length * (phaseMs / 1000);
			perRequestMs.push(((await cpuMsOf(hosts)) - beforeMs - idleShareMs) / sent);
		}

		const shares = await Promise.all(hosts.map(async host => proportionalMb(host.daemon.pid)));
		return {
			startMs,
			idleMsPerS,
			perRequestMs,
			memoryMb: shares.reduce((sum, mb) => sum + mb, 0) / hosts.length,
		};
	} finally {
		abort.abort();
		await reports;
		await agent.destroy();
		await Promise.all(
			hosts.map(async host => {
				await host.daemon.end('SIGTERM');
				await host.stop();
			}),
		);
		await platform.stop();
	}
};

const reportUntil = async (hosts: readonly RoutedHost[], signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await Promise.all(hosts.map(async host => host.report().catch(() => {})));
		await sleep(reportMs, undefined, {signal}).catch(() => {});
	}
};

/** Sends requests evenly spaced, waits for all of them and returns their number. */
const sendAtRate = async (
	hosts: readonly RoutedHost[],
	agent: Agent,
	rate: number,
	phaseMs: number,
): Promise<number> => {
	const count = Math.round((rate * phaseMs) / 1000);
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < count; index++) {
		for (const [at, host] of hosts.entries()) {
			const path = index % 3 === 0 ? '/pay/1' : '/look/1';
			pending.push(send(agent, host.callerPort, path, `${rate}-${index}-${at}`));
		}

		await sleep(1000 / rate);
	}

	await Promise.all(pending);
	return pending.length;
};

const send = async (agent: Agent, port: number, path: string, id: string): Promise<void> => {
	const reply = await request(`http://127.0.0.1:${port}${path}`, {
		dispatcher: agent,
		headers: {host: 'shop.example', 'attempt-id': id, 'deadline-ms': '2000'},
	});
	await reply.body.dump();
};

const cpuMsOf = async (hosts: readonly RoutedHost[]): Promise<number> => {
	const usages = await Promise.all(hosts.map(async ({daemon}) => readProcessUsage(daemon.pid)));
	return usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0);
};

const proportionalMb = async (pid: number): Promise<number> => {
	const rollup = await readFile(`/proc/${pid}/smaps_rollup`, 'utf8');
	return Number(/^Pss:\s+(\d+)/mv.exec(rollup)?.[1] ?? 0) / 1024;
};
