import {setTimeout as delay} from 'node:timers/promises';
import {createSystemClock} from '@medlarsaddle/core';
import {Load} from '../callers/load.js';
import {requestOutcomes} from '../callers/request-outcomes.js';
import type {Shot} from '../callers/shot.js';
import {capacity} from '../deploy/capacity.js';
import type {Deployment} from '../deploy/deployment.js';
import {Fleet} from '../deploy/fleet.js';
import {processUsage} from './process-usage.js';
import {scrape} from './scrape.js';

type Job = Deployment['jobs'][number];

type Opts = {
	readonly deployment: Deployment;
	readonly seed: number;
	readonly scale: number;
	readonly admission: 'on' | 'off';
	readonly durationMs: number;
	/** Requests a second as a multiple of the capacity that the slots give. */
	readonly loadAt: (elapsedMs: number) => number;
	readonly shareAt?: (job: Job, elapsedMs: number) => number;
	readonly jobs?: readonly Job[];
	readonly maxTries?: number;
	readonly retryDelayMs?: number;
	readonly coldRequests?: number;
	/** Time between roll-ups of the nodes, in milliseconds. */
	readonly rollUpMs?: number;
	/** What happens during the load, each at its time. */
	readonly acts?: ReadonlyArray<{readonly atMs: number; act(fleet: Fleet): Promise<void>}>;
	/** Other callers beside the measured ones. */
	readonly others?: (fleet: Fleet) => ReadonlyArray<Promise<unknown>>;
	/** Looks at the fleet after the load, before it is stopped. */
	readonly inspect?: (fleet: Fleet) => Promise<void>;
};

type Outcome = {
	readonly shots: readonly Shot[];
	/** Requests a second that the slots could carry. */
	readonly capacity: number;
	readonly lagP99Ms: number;
	/** Keyed requests that ran more than once at their service. */
	readonly doubles: number;
	/** Requests that ran although each answer to them said "not-run". */
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

/** Callers do not come all at once; processes that have just started get this long to warm up. */
const rampMs = 1500;

/**
 * Runs one load against a fleet of processes and judges what came of it. It refuses to report when
 * its own callers could not keep up.
 *
 * @example
 * const outcome = await experiment({deployment: hungary, seed: 1, scale: 0.1, admission: 'on', durationMs: 5000, loadAt: () => 0.5});
 */
export const experiment = async (opts: Opts): Promise<Outcome> => {
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
	const {deployment, scale, seed, loadAt, durationMs, acts = []} = opts;
	const jobs = opts.jobs ?? deployment.jobs;
	const perSecond = capacity(deployment, deployment.jobs, scale);
	const clock = createSystemClock();
	const before = await usageOf(fleet);
	const startMs = clock.monotonic();
	const load = Load.run({
		clock,
		seed,
		urls: () => fleet.callerUrls,
		jobs,
		rateAt: elapsedMs => loadAt(elapsedMs) * perSecond * Math.min(1, 0.1 + elapsedMs / rampMs),
		shareAt: opts.shareAt,
		durationMs,
		maxTries: opts.maxTries,
		retryDelayMs: opts.retryDelayMs,
	});
	const acting = acts.map(async ({atMs, act}) => {
		await delay(atMs);
		await act(fleet);
	});
	const [{shots, lagMs}] = await Promise.all([load, ...acting, ...(opts.others?.(fleet) ?? [])]);
	const seconds = (clock.monotonic() - startMs) / 1000;
	const after = await usageOf(fleet);
	await delay(settleMs);
	const lagP99Ms = lagMs.toSorted((a, b) => a - b)[Math.floor(lagMs.length * 0.99)] ?? 0;
	if (lagP99Ms > maxLagMs) {
		throw new Error(
			`The callers fell behind by ${lagP99Ms.toFixed(0)} ms, so the figures would not be true: lower --scale`,
		);
	}

	return {
		shots,
		capacity: perSecond,
		lagP99Ms,
		...(await judgeRuns(fleet, shots)),
		...(await fleet.stats()),
		wrong: shots.filter(({outcome}) => outcome === requestOutcomes.wrong).length,
		nodeCpuShare: (after.cpuMs - before.cpuMs) / 1000 / seconds / fleet.hosts.length,
		nodeRssMb: after.rssMb / fleet.hosts.length,
		controlBytesPerSecond:
			(after.controlBytes - before.controlBytes) / seconds / fleet.hosts.length,
		platformCalls: await fleet.platformCalls(),
	};
};

/** Compares what callers were told with what the upstreams ran. */
const judgeRuns = async (
	fleet: Fleet,
	shots: readonly Shot[],
): Promise<{doubles: number; falseNotRun: number}> => {
	let doubles = 0;
	let falseNotRun = 0;
	for (const service of new Set(shots.map(shot => shot.service))) {
		const sent = shots.filter(shot => shot.service === service);
		const runs = await fleet.runsOf(
			service,
			sent.map(({id}) => id),
		);
		doubles += sent.filter(({id, keyed}) => keyed && (runs.get(id) ?? 0) > 1).length;
		falseNotRun += sent.filter(({id, saidNotRun}) => saidNotRun && (runs.get(id) ?? 0) > 0).length;
	}

	return {doubles, falseNotRun};
};

const usageOf = async (
	fleet: Fleet,
): Promise<{cpuMs: number; rssMb: number; controlBytes: number}> => {
	const sum = {cpuMs: 0, rssMb: 0, controlBytes: 0};
	for (const {node, ports} of fleet.hosts) {
		if (!node.isRunning) {
			continue;
		}

		const usage = await processUsage(node.pid);
		sum.cpuMs += usage.cpuMs;
		sum.rssMb += usage.rssMb;
		sum.controlBytes += await scrape(
			`http://127.0.0.1:${ports.http}`,
			'medlarsaddle_control_bytes_total',
		).catch(() => 0);
	}

	return sum;
};
