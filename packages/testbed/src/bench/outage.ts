import {setTimeout as delay} from 'node:timers/promises';
import {countFaults} from './count-faults.js';
import {runExperiment} from './run-experiment.js';
import type {Scenario} from './scenario.js';
import {summarize} from './summarize.js';

const durationMs = 72_000;
const outageFromMs = 4000;
const outageToMs = 64_000;
const restartGapMs = 2500;
const baseLoad = 0.3;

/** The platform is down for a minute while half of the nodes restart in turn under load. */
export const outage: Scenario = {
	name: 'outage',
	description: 'the platform is down for a minute during a rolling restart of half of the nodes',
	async run({deployment, seed, scale}) {
		const outcome = await runExperiment({
			deployment,
			seed,
			scale,
			admission: 'on',
			durationMs,
			loadAt: () => baseLoad,
			actions: [
				{
					atMs: outageFromMs,
					async run(fleet) {
						await fleet.setPlatformFaults({isDown: true});
						// Every second host, so that a service with two in a data centre keeps one.
						for (const host of fleet.hosts.filter((_host, index) => index % 2 === 0)) {
							await delay(restartGapMs);
							fleet.stopTraffic(host);
							await host.node.end('SIGTERM');
							await fleet.restartHost(host);
							fleet.resumeTraffic(host);
						}
					},
				},
				{atMs: outageToMs, run: async fleet => fleet.setPlatformFaults({})},
			],
		});
		const all = summarize(outcome.shots, 0, durationMs);
		const {doubles, falseNotRun, wrong, platformCalls} = outcome;
		const couldBeServed = outcome.shots.filter(
			({outcome: ended, fault}) => ended !== 'good' && fault !== 'no-endpoint',
		).length;
		return {
			figures: {
				all,
				faults: countFaults(outcome.shots),
				couldBeServed,
				doubles,
				falseNotRun,
				wrong,
				platformCalls,
			},
			bounds: {
				'requests lost that could be served = 0': couldBeServed === 0,
				'doubles = 0': doubles === 0,
				'falseNotRun = 0': falseNotRun === 0,
				'wrong = 0': wrong === 0,
			},
		};
	},
};
