import {setTimeout as delay} from 'node:timers/promises';
import {createSystemClock} from '@medlarsaddle/core';
import {summarize} from '../bench/summarize.js';
import {Load} from '../callers/load.js';
import type {Shot} from '../callers/shot.js';
import {capacity} from '../deploy/capacity.js';
import {Fleet} from '../deploy/fleet.js';
import {hungary} from '../deploy/hungary.js';

const scale = 0.1;
const seed = 1;
const rampMs = 2000;
const floodFromMs = 6000;
const floodToMs = 12_000;
const endMs = 18_000;
const quietLoad = 0.4;
const floodLoad = 2;
const rollUpMs = 1000;
const settledRollUps = 3;

/** A Hungarian deployment in small: every service once in each of two data centres. */
const deployment = {
	...hungary,
	dataCentres: ['bud1', 'bud2'],
	services: hungary.services.map(service => ({...service, endpoints: 2})),
};

const isFlooded = (elapsedMs: number) => elapsedMs >= floodFromMs && elapsedMs < floodToMs;
const perSecond = capacity(deployment, deployment.jobs, scale);

const say = (text: string) => {
	console.log(text);
};

const sendLoad = async (fleet: Fleet): Promise<Shot[]> => {
	const {shots} = await Load.run({
		clock: createSystemClock(),
		seed,
		urls: () => fleet.callerUrls,
		jobs: deployment.jobs,
		rateAt: elapsedMs =>
			perSecond *
			(isFlooded(elapsedMs) ? floodLoad : quietLoad) *
			Math.min(1, 0.1 + elapsedMs / rampMs),
		// The flood is one of look-ups; the urgent work keeps coming as before.
		shareAt: (job, elapsedMs) =>
			job.rank === 'background' && isFlooded(elapsedMs)
				? job.share * (floodLoad / quietLoad) * 1.3
				: job.share,
		durationMs: endMs,
	});
	return shots;
};

const printPhase = (title: string, shots: readonly Shot[], fromMs: number, toMs: number) => {
	say(`\n${title}`);
	for (const rank of ['critical', 'background']) {
		const {sent, good, notRun, unknown, failed, late, p50Ms, p99Ms} = summarize(
			shots.filter(shot => shot.rank === rank),
			fromMs,
			toMs,
		);
		say(
			`  ${rank.padEnd(11)} ${good} of ${sent} good, ${notRun} refused as not run, ${unknown} unknown, ${failed} failed, ${late} late; p50 ${p50Ms} ms, p99 ${p99Ms} ms`,
		);
	}
};

const check = async (fleet: Fleet, shots: readonly Shot[]): Promise<string[]> => {
	const broken: string[] = [];
	const urgent = summarize(
		shots.filter(({rank}) => rank === 'critical'),
		rampMs,
		endMs,
	);
	if (urgent.goodShare < 0.99) {
		broken.push(`only ${urgent.good} of ${urgent.sent} urgent requests were answered`);
	}

	for (const service of ['payment', 'reservation']) {
		const sent = shots.filter(shot => shot.service === service);
		const runs = await fleet.runsOf(
			service,
			sent.map(({id}) => id),
		);
		const doubles = sent.filter(({id}) => (runs.get(id) ?? 0) > 1);
		const falselyRefused = sent.filter(({id, saidNotRun}) => saidNotRun && (runs.get(id) ?? 0) > 0);
		if (doubles.length > 0) {
			broken.push(`${doubles.length} actions of ${service} ran twice`);
		}

		if (falselyRefused.length > 0) {
			broken.push(`${falselyRefused.length} actions of ${service} ran although refused as not run`);
		}
	}

	const wrong = shots.filter(({outcome}) => outcome === 'wrong');
	if (wrong.length > 0) {
		broken.push(`${wrong.length} answers were not whole or not the caller's own`);
	}

	return broken;
};

process.on('SIGTERM', () => process.exit(1));
process.on('SIGINT', () => process.exit(1));
say('Starting the platform stand-in, 8 nodes and 8 upstreams as separate processes.');
const fleet = await Fleet.start({deployment, scale, seed, rollUpMs});
let code = 1;
try {
	say(`The client has put ${Object.keys(deployment.policy).length} policy sections:\n`);
	say((await fleet.operate(fleet.hosts[0]!, ['policy', 'get'])).text);
	say(
		`Sending requests for ${endMs / 1000} s; from second ${floodFromMs / 1000} to ${floodToMs / 1000} a flood of look-ups.`,
	);
	const shots = await sendLoad(fleet);
	printPhase('Before the flood', shots, rampMs, floodFromMs);
	printPhase('During the flood', shots, floodFromMs, floodToMs);
	printPhase('After the flood', shots, floodToMs, endMs);
	say('\nThe report over all nodes:\n');
	await delay(rollUpMs * settledRollUps);
	say((await fleet.operate(fleet.hosts[0]!, ['report'])).text);
	const broken = await check(fleet, shots);
	for (const promise of broken) {
		say(`BROKEN: ${promise}`);
	}

	say(broken.length === 0 ? 'Every promise was kept.' : 'Some promises were broken.');
	code = broken.length === 0 ? 0 : 1;
} finally {
	await fleet.stop();
}

process.exit(code);
