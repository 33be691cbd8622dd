import {setTimeout} from 'node:timers/promises';
import {type Clock, type Random, createRandom} from '@medlarsaddle/core';
import {Platform} from '../platform/platform.js';
import {applyHostStep} from './apply-host-step.js';
import {findViolations} from './find-violations.js';
import {drawSteps} from './draw-steps.js';
import {faultSpansOf} from './fault-spans-of.js';
import type {SoakRecord} from './soak-record.js';
import type {UpstreamRun} from './upstream-run.js';
import type {SentRequest} from './sent-request.js';
import {runDeskClients} from './run-desk-clients.js';
import {runSoakCaller} from './soak-caller.js';
import {soakConfiguration} from './soak-configuration.js';
import {SoakHost} from './soak-host.js';
import {stallSpansOf} from './stall-spans-of.js';
import {startSoakUpstream} from './soak-upstream.js';
import type {Step} from './step.js';
import {waitUntilServed} from './wait-until-served.js';

type Opts = {
	readonly clock: Clock;
	readonly seed: number;
	readonly hosts: number;
	readonly callersPerHost: number;
	/** Length of the period in which a series of steps may start, in milliseconds. */
	readonly lengthMs: number;
};

type SoakResult = {
	/** One line for each violated guarantee. */
	readonly violations: readonly string[];
	readonly steps: readonly Step[];
	readonly record: SoakRecord;
	/** The last log lines of the daemon of each host, by host name. */
	readonly logs: ReadonlyMap<string, SoakHost['log']>;
};

/**
 * Time limit for every host to serve again once no fault is active, in milliseconds: `recoverS` of the
 * platform.
 */
const recoveryTimeoutMs = 15_000;

/**
 * Delay of each store call while the store is slow, in milliseconds: longer than its published response
 * times.
 */
const slowStoreMs = 800;

/** Age of the copy from which the store is restored, in milliseconds. */
const restoredAgeMs = 5000;

const storeFaults = {
	'store-down': {isDown: true},
	'store-slow': {delayMs: slowStoreMs},
	'store-forgets': {staleReads: 5},
	'store-loses-answers': {loseAnswers: 3},
} as const;

const services = ['catalogue', 'payment'] as const;
const dataCentres = ['dc1', 'dc2'] as const;

/**
 * One run of the real programs under faults drawn from a seed. It checks the guarantees of the node
 * against the records of callers and upstreams, and that every host serves again at the end.
 *
 * @example
 * const {violations} = await Soak.run({clock, seed: 7, hosts: 4, callersPerHost: 3, lengthMs: 20_000});
 */
export class Soak {
	/** Runs a whole soak and stops every process that it started. */
	static async run(opts: Opts): Promise<SoakResult> {
		const platform = await Platform.start();
		const soak = new Soak(opts, platform);
		try {
			await soak.startHosts();
			return await soak.execute();
		} finally {
			await Promise.all(soak.hosts.map(async host => host.stop()));
			await platform.stop();
		}
	}

	private readonly hosts: SoakHost[] = [];
	private readonly sent: SentRequest[] = [];
	private readonly runs: UpstreamRun[] = [];
	private readonly drains: Array<SoakRecord['drains'][number]> = [];
	private readonly stops: Array<SoakRecord['stops'][number]> = [];
	/** Answers that the upstream of a host is yet to spoil, by host name. */
	private readonly spoiltAnswers = new Map<string, string[]>();
	private readonly versions = new Map<string, number>();
	private readonly random: Random;
	private version = 0;

	private constructor(
		private readonly opts: Opts,
		private readonly platform: Platform,
	) {
		this.random = createRandom(opts.seed);
	}

	private async startHosts(): Promise<void> {
		const {clock} = this.opts;
		this.writeConfiguration();
		const storePort = Number(new URL(this.platform.url).port);
		const starts = Array.from({length: this.opts.hosts}, async (_, index) => {
			const service = services[index % services.length]!;
			return SoakHost.start({
				name: `h${index + 1}`,
				number: index + 1,
				dataCentre: dataCentres[Math.floor(index / services.length) % dataCentres.length]!,
				service,
				storePort,
				startUpstream: async (instance, instanceNumber) =>
					startSoakUpstream({
						service,
						instance,
						instanceNumber,
						clock,
						random: this.random,
						onRun: run => this.runs.push(run),
						callInner: async inner => this.callInner(index, inner),
						nextSpoiltAnswer: () => this.spoiltAnswers.get(`h${index + 1}`)?.shift(),
					}),
			});
		});
		this.hosts.push(...(await Promise.all(starts)));
	}

	private async execute(): Promise<SoakResult> {
		const {clock, seed, hosts, lengthMs} = this.opts;
		const abort = new AbortController();
		const {signal} = abort;
		const reportLoops = this.hosts.map(async host => host.runReportLoop(signal));
		const violations = [...(await this.waitUntilAllServed('at the start'))];
		const startMs = clock.monotonic();
		const callerLoops = this.startCallers(signal);
		const steps = drawSteps({seed, hosts, lengthMs});
		const harm = faultSpansOf(steps, startMs);
		const hostNames = this.hosts.map(({name}) => name);
		const stalls = stallSpansOf(steps, startMs, hostNames);
		await Promise.all(
			steps.map(async step => {
				await setTimeout(step.atMs);
				await this.applyStep(step);
			}),
		);
		await Promise.all(this.hosts.map(async host => host.startDaemon()));
		violations.push(...(await this.waitUntilAllServed('after the last fault')));
		abort.abort();
		await Promise.all([...callerLoops, ...reportLoops]);
		const {sent, runs, drains, stops, versions} = this;
		const record = {sent, runs, drains, stops, harm, stalls, versions};
		const logs = new Map(this.hosts.map(({name, log}) => [name, log]));
		return {violations: [...violations, ...findViolations(record)], steps, record, logs};
	}

	/** Sends a call of an upstream to the node on its host. */
	private async callInner(
		index: number,
		inner: Parameters<SoakHost['callInner']>[1],
	): Promise<void> {
		const sent = await this.hosts[index]?.callInner(this.opts.clock, inner);
		if (sent) {
			this.sent.push(sent);
		}
	}

	private startCallers(signal: AbortSignal): Array<Promise<void>> {
		const {clock, callersPerHost} = this.opts;
		const onSent = (sent: SentRequest) => this.sent.push(sent);
		const desk = runDeskClients({host: this.hosts[0]!, clock, onSent}, signal);
		const callers = this.hosts.flatMap(host =>
			Array.from({length: callersPerHost}, async (_, index) =>
				runSoakCaller(
					{
						name: `${host.name}-c${index + 1}`,
						host,
						clock,
						random: this.random,
						newestPrefix: () => soakConfiguration.prefixOf(this.version),
						onSent,
					},
					signal,
				),
			),
		);
		return [desk, ...callers];
	}

	/** Writes the next configuration version to the store, as an operator does. */
	private writeConfiguration(): void {
		this.version++;
		this.versions.set(soakConfiguration.prefixOf(this.version), this.version);
		this.platform.write('config', 'main', soakConfiguration.of(this.version));
	}

	private async applyStep(step: Step): Promise<void> {
		if ('host' in step) {
			const {opts, drains, stops, spoiltAnswers} = this;
			return applyHostStep(
				{clock: opts.clock, drains, stops, spoiltAnswers},
				step,
				this.hosts[step.host]!,
			);
		}

		if (step.kind === 'configure') {
			this.writeConfiguration();
			return;
		}

		if (step.kind === 'store-restored') {
			this.platform.restore({ageMs: restoredAgeMs, areWatchesCut: step.areWatchesCut});
			await setTimeout(step.forMs);
			this.platform.write('config', 'main', soakConfiguration.of(this.version));
			return;
		}

		this.platform.setFaults(storeFaults[step.kind]);
		await setTimeout(step.forMs);
		this.platform.setFaults({});
	}

	/**
	 * Waits until every host serves both services. Resolves with one line for each host and service that
	 * is not served in time.
	 */
	private async waitUntilAllServed(phase: string): Promise<string[]> {
		const signal = AbortSignal.timeout(recoveryTimeoutMs);
		const name = phase.replaceAll(' ', '-');
		const {clock} = this.opts;
		const onSent = (sent: SentRequest) => this.sent.push(sent);
		const violations = await Promise.all(
			this.hosts.flatMap(host =>
				['/look/', '/pay/'].map(async prefix => {
					const isIdempotent = prefix === '/look/';
					const opts = {clock, host, prefix, isIdempotent, name, onSent};
					return (await waitUntilServed(opts, signal))
						? []
						: [`${host.name} does not serve ${prefix} ${phase}`];
				}),
			),
		);
		return violations.flat();
	}
}
