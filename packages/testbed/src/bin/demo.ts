import {setTimeout as delay} from 'node:timers/promises';
import {createSystemClock} from '@medlarsaddle/core';
import {summarize} from '../bench/summarize.js';
import {LoadGenerator} from '../callers/load-generator.js';
import type {RequestResult} from '../callers/request-result.js';
import {capacity} from '../deploy/capacity.js';
import {Fleet} from '../deploy/fleet.js';
import {hungary} from '../deploy/hungary.js';

const scale = 0.1;
const seed = 1;
const rampMs = 2000;
const floodFromMs = 6000;
const floodToMs = 12_000;
const endMs = 18_000;
const baseLoad = 0.4;
const floodLoad = 2;
const rollUpMs = 1000;
const rollUpsToWait = 3;

/** The Hungarian deployment scaled down: one host of each service in each of two data centres. */
const deployment = {
	...hungary,
	dataCentres: ['bud1', 'bud2'],
	services: hungary.services.map(service => ({...service, endpoints: 2})),
};

const isDuringFlood = (elapsedMs: number) => elapsedMs >= floodFromMs && elapsedMs < floodToMs;
const capacityPerSecond = capacity(deployment, deployment.jobs, scale);

const print = (text: string) => {
	console.log(text);
};

const sendLoad = async (fleet: Fleet): Promise<RequestResult[]> => {
	const {results: shots} = await LoadGenerator.run({
		clock: createSystemClock(),
		seed,
		urls: () => fleet.callerUrls,
		jobs: deployment.jobs,
		rateAt: elapsedMs =>
			capacityPerSecond *
			(isDuringFlood(elapsedMs) ? floodLoad : baseLoad) *
			Math.min(1, 0.1 + elapsedMs / rampMs),
		// Only look-ups flood; the rate of urgent work stays the same.
		shareAt: (job, elapsedMs) =>
			job.rank === 'background' && isDuringFlood(elapsedMs)
				? job.share * (floodLoad / baseLoad) * 1.3
				: job.share,
		durationMs: endMs,
	});
	return shots;
};

const printPhase = (
	title: string,
	shots: readonly RequestResult[],
	fromMs: number,
	toMs: number,
) => {
	print(`\n${title}`);
	for (const rank of ['critical', 'background']) {
		const {sent, good, notRun, unknown, failed, late, p50Ms, p99Ms} = summarize(
			shots.filter(shot => shot.rank === rank),
			fromMs,
			toMs,
		);
		print(
			`  ${rank.padEnd(11)} ${good} of ${sent} good, ${notRun} refused as not run, ${unknown} unknown, ${failed} failed, ${late} late; p50 ${p50Ms} ms, p99 ${p99Ms} ms`,
		);
	}
};

const findViolations = async (fleet: Fleet, shots: readonly RequestResult[]): Promise<string[]> => {
	const violations: string[] = [];
	const urgent = summarize(
		shots.filter(({rank}) => rank === 'critical'),
		rampMs,
		endMs,
	);
	if (urgent.goodShare < 0.99) {
		violations.push(`only ${urgent.good} of ${urgent.sent} urgent requests were answered`);
	}

	for (const service of ['payment', 'reservation']) {
		const sent = shots.filter(shot => shot.service === service);
		const runs = await fleet.runsOf(
			service,
			sent.map(({id}) => id),
		);
		const duplicates = sent.filter(({id}) => (runs.get(id) ?? 0) > 1);
		const falselyRefused = sent.filter(
			({id, isReportedNotRun: saidNotRun}) => saidNotRun && (runs.get(id) ?? 0) > 0,
		);
		if (duplicates.length > 0) {
			violations.push(`${duplicates.length} actions of ${service} ran twice`);
		}

		if (falselyRefused.length > 0) {
			violations.push(
				`${falselyRefused.length} actions of ${service} ran although refused as not run`,
			);
		}
	}

	const wrong = shots.filter(({outcome}) => outcome === 'wrong');
	if (wrong.length > 0) {
		violations.push(`${wrong.length} answers were not whole or not the caller's own`);
	}

	return violations;
};

process.on('SIGTERM', () => process.exit(1));
process.on('SIGINT', () => process.exit(1));
print('Starting the platform stand-in, 8 nodes and 8 upstreams as separate processes.');
const fleet = await Fleet.start({deployment, scale, seed, rollUpMs});
let exitCode = 1;
try {
	print(`The client has put ${Object.keys(deployment.policy).length} policy sections:\n`);
	print((await fleet.runClient(fleet.hosts[0]!, ['policy', 'get'])).text);
	print(
		`Sending requests for ${endMs / 1000} s; from second ${floodFromMs / 1000} to ${floodToMs / 1000} a flood of look-ups.`,
	);
	const shots = await sendLoad(fleet);
	printPhase('Before the flood', shots, rampMs, floodFromMs);
	printPhase('During the flood', shots, floodFromMs, floodToMs);
	printPhase('After the flood', shots, floodToMs, endMs);
	print('\nThe report over all nodes:\n');
	await delay(rollUpMs * rollUpsToWait);
	print((await fleet.runClient(fleet.hosts[0]!, ['report'])).text);
	const violations = await findViolations(fleet, shots);
	for (const violation of violations) {
		print(`BROKEN: ${violation}`);
	}

	print(violations.length === 0 ? 'Every check passed.' : 'Some checks failed.');
	exitCode = violations.length === 0 ? 0 : 1;
} finally {
	await fleet.stop();
}

process.exit(exitCode);
