import {setTimeout as delay} from 'node:timers/promises';
import {createSystemClock} from '@medlarsaddle/core';
import {LoadGenerator} from '../callers/load-generator.js';
import {requestOutcomes} from '../callers/request-outcomes.js';
import type {RequestResult} from '../callers/request-result.js';
import {capacity} from '../deploy/capacity.js';
import type {Deployment} from '../deploy/deployment.js';
import {Fleet} from '../deploy/fleet.js';
import {readProcessUsage} from './read-process-usage.js';
import {scrapeCounter} from './scrape-counter.js';

type Job = Deployment['jobs'][number];

type Opts = {
	readonly deployment: Deployment;
	readonly seed: number;
	readonly scale: number;
	readonly admission: 'on' | 'off';
	readonly durationMs: number;
	/** Offered load as a multiple of the capacity that the slots give. */
	readonly loadAt: (elapsedMs: number) => number;
	readonly shareAt?: (job: Job, elapsedMs: number) => number;
	readonly jobs?: readonly Job[];
	readonly maxTries?: number;
	readonly retryDelayMs?: number;
	readonly coldRequests?: number;
	/** Interval between the nodes' roll-ups of the report, in milliseconds. */
	readonly rollUpMs?: number;
	/** Actions on the fleet during the load, at times from its start. */
	readonly actions?: ReadonlyArray<{readonly atMs: number; run(fleet: Fleet): Promise<void>}>;
	/** Starts further load, which the figures leave out. */
	readonly unmeasuredLoads?: (fleet: Fleet) => ReadonlyArray<Promise<unknown>>;
	/** Inspects the fleet after the load, before it is stopped. */
	readonly inspect?: (fleet: Fleet) => Promise<void>;
};

type Outcome = {
	readonly shots: readonly RequestResult[];
	/** Requests a second that the slots can carry. */
	readonly capacity: number;
	readonly lagP99Ms: number;
	/** Requests with an idempotency key that ran more than once at their service. */
	readonly doubles: number;
	/** Requests that ran although every answer to them said "not-run". */
	readonly falseNotRun: number;
	readonly wrong: number;
	readonly runs: number;
	readonly wasted: number;
	readonly nodeCpuShare: number;
	readonly nodeRssMb: number;
	readonly controlBytesPerSecond: number;
	readonly platformCalls: Readonly<Record<string, number>>;
};

const maxLagMs = 250;
const settleMs = 1500;

/** Time over which the load ramps up, so that processes that have just started can warm up. */
const rampMs = 1500;

/**
 * Runs one load against a fleet of processes and evaluates the outcome. Throws if the load
 * generator falls behind its schedule, since the figures would then be invalid.
 *
 * @example
 * const outcome = await runExperiment({deployment: hungary, seed: 1, scale: 0.1, admission: 'on', durationMs: 5000, loadAt: () => 0.5});
 */
export const runExperiment = async (opts: Opts): Promise<Outcome> => {
	const {deployment, seed, scale, admission, coldRequests, rollUpMs} = opts;
	const fleet = await Fleet.start({
		deployment,
		seed,
		scale,
		admission,
		coldRequests,
		rollUpMs,
	});
	try {
		const outcome = await measure(fleet, opts);
		await opts.inspect?.(fleet);
		return outcome;
	} finally {
		await fleet.stop();
	}
};

const measure = async (fleet: Fleet, opts: Opts): Promise<Outcome> => {
	const {deployment, scale, seed, loadAt, durationMs, actions = []} = opts;
	const jobs = opts.jobs ?? deployment.jobs;
	const capacityPerSecond = capacity(deployment, deployment.jobs, scale);
	const clock = createSystemClock();
	const before = await totalUsage(fleet);
	const startMs = clock.monotonic();
	const load = LoadGenerator.run({
		clock,
		seed,
		urls: () => fleet.callerUrls,
		jobs,
		rateAt: elapsedMs =>
			loadAt(elapsedMs) * capacityPerSecond * Math.min(1, 0.1 + elapsedMs / rampMs),
		shareAt: opts.shareAt,
		durationMs,
		maxAttempts: opts.maxTries,
		retryDelayMs: opts.retryDelayMs,
	});
	const pendingActions = actions.map(async ({atMs, run}) => {
		await delay(atMs);
		await run(fleet);
	});
	const [{results: shots, lagMs}] = await Promise.all([
		load,
		...pendingActions,
		...(opts.unmeasuredLoads?.(fleet) ?? []),
	]);
	const seconds = (clock.monotonic() - startMs) / 1000;
	const after = await totalUsage(fleet);
	await delay(settleMs);
	const lagP99Ms = lagMs.toSorted((a, b) => a - b)[Math.floor(lagMs.length * 0.99)] ?? 0;
	if (lagP99Ms > maxLagMs) {
		throw new Error(
			`The load generator fell ${lagP99Ms.toFixed(0)} ms behind its schedule, so the figures are invalid; lower --scale`,
		);
	}

	return {
		shots,
		capacity: capacityPerSecond,
		lagP99Ms,
		...(await compareRuns(fleet, shots)),
		...(await fleet.upstreamStats()),
		wrong: shots.filter(({outcome}) => outcome === requestOutcomes.wrong).length,
		nodeCpuShare: (after.cpuMs - before.cpuMs) / 1000 / seconds / fleet.hosts.length,
		nodeRssMb: after.rssMb / fleet.hosts.length,
		controlBytesPerSecond:
			(after.controlBytes - before.controlBytes) / seconds / fleet.hosts.length,
		platformCalls: await fleet.platformCalls(),
	};
};

/** Compares the answers that callers got with the runs that the upstreams counted. */
const compareRuns = async (
	fleet: Fleet,
	shots: readonly RequestResult[],
): Promise<{doubles: number; falseNotRun: number}> => {
	let doubles = 0;
	let falseNotRun = 0;
	for (const service of new Set(shots.map(shot => shot.service))) {
		const sent = shots.filter(shot => shot.service === service);
		const runs = await fleet.runsOf(
			service,
			sent.map(({id}) => id),
		);
		doubles += sent.filter(({id, isKeyed: keyed}) => keyed && (runs.get(id) ?? 0) > 1).length;
		falseNotRun += sent.filter(
			({id, isReportedNotRun: saidNotRun}) => saidNotRun && (runs.get(id) ?? 0) > 0,
		).length;
	}

	return {doubles, falseNotRun};
};

const totalUsage = async (
	fleet: Fleet,
): Promise<{cpuMs: number; rssMb: number; controlBytes: number}> => {
	const sum = {cpuMs: 0, rssMb: 0, controlBytes: 0};
	for (const {node, ports} of fleet.hosts) {
		if (!node.isRunning) {
			continue;
		}

		const usage = await readProcessUsage(node.pid);
		sum.cpuMs += usage.cpuMs;
		sum.rssMb += usage.rssMb;
		sum.controlBytes += await scrapeCounter(
			`http://127.0.0.1:${ports.http}`,
			'medlarsaddle_control_bytes_total',
		).catch(() => 0);
	}

	return sum;
};
