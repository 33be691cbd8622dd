import {setTimeout} from 'node:timers/promises';
import {type Clock, type Random, createRandom} from '@medlarsaddle/core';
import {Platform} from '../platform/platform.js';
import {brokenPromises} from './broken-promises.js';
import {drawSteps} from './draw-steps.js';
import {harmOf} from './harm-of.js';
import {linkFaults} from './link-faults.js';
import type {SoakRecord} from './soak-record.js';
import type {Run} from './run.js';
import type {Sent} from './sent.js';
import {runSoakCaller} from './soak-caller.js';
import {soakConfiguration} from './soak-configuration.js';
import {SoakHost} from './soak-host.js';
import {startSoakUpstream} from './soak-upstream.js';
import type {Step} from './step.js';
import {untilServed} from './until-served.js';

type Opts = {
	readonly clock: Clock;
	readonly seed: number;
	readonly hosts: number;
	readonly callersPerHost: number;
	/** How long steps may begin, in milliseconds. */
	readonly lengthMs: number;
};

type Ended = {
	/** A line for each promise that was broken; none when all were kept. */
	readonly broken: readonly string[];
	readonly steps: readonly Step[];
	readonly record: SoakRecord;
	/** The last lines that each host's daemon logged. */
	readonly logs: ReadonlyMap<string, SoakHost['log']>;
};

/** Bound on serving again once nothing is harmed any more, in milliseconds: `recoverS` of the platform. */
const recoverMs = 15_000;

/** How long a drained upstream finishes what it runs, in milliseconds: beyond `drainMs` of the platform. */
const finishMs = 2500;

/** Delay of each call while the store is slow, in milliseconds: beyond its published answer times. */
const slowStoreMs = 800;

const storeFaults = {
	'store-down': {isDown: true},
	'store-slow': {delayMs: slowStoreMs},
	'store-forgets': {staleReads: 5},
	'store-loses-answers': {loseAnswers: 3},
} as const;

const services = ['catalogue', 'payment'] as const;
const dataCentres = ['dc1', 'dc2'] as const;

/**
 * One run of the real programs under the faults that a seed draws. It checks the promises from what
 * callers and upstreams saw, and that everything is served again at the end.
 *
 * @example
 * const {broken} = await Soak.run({clock, seed: 7, hosts: 4, callersPerHost: 3, lengthMs: 20_000});
 */
export class Soak {
	/** Runs to the end and stops every process that it started. */
	static async run(opts: Opts): Promise<Ended> {
		const platform = await Platform.start();
		const soak = new Soak(opts, platform);
		try {
			await soak.startHosts();
			return await soak.carryOut();
		} finally {
			await Promise.all(soak.hosts.map(async host => host.stop()));
			await platform.stop();
		}
	}

	private readonly hosts: SoakHost[] = [];
	private readonly sent: Sent[] = [];
	private readonly runs: Run[] = [];
	private readonly drains: Array<SoakRecord['drains'][number]> = [];
	private readonly stops: Array<SoakRecord['stops'][number]> = [];
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
		this.configure();
		const storePort = Number(new URL(this.platform.url).port);
		const starts = Array.from({length: this.opts.hosts}, async (_, index) => {
			const service = services[index % services.length]!;
			return SoakHost.start({
				name: `h${index + 1}`,
				number: index + 1,
				dataCentre: dataCentres[Math.floor(index / services.length) % dataCentres.length]!,
				service,
				storePort,
				startUpstream: async (instance, start) =>
					startSoakUpstream({
						service,
						instance,
						start,
						clock,
						random: this.random,
						onRun: run => this.runs.push(run),
					}),
			});
		});
		this.hosts.push(...(await Promise.all(starts)));
	}

	private async carryOut(): Promise<Ended> {
		const {clock, seed, hosts, lengthMs} = this.opts;
		const abort = new AbortController();
		const {signal} = abort;
		const reports = this.hosts.map(async host => host.keepReporting(signal));
		const broken = [...(await this.serveAll('at the start'))];
		const beganMs = clock.monotonic();
		const callers = this.startCallers(signal);
		const steps = drawSteps({seed, hosts, lengthMs});
		const harm = harmOf(steps, beganMs);
		await Promise.all(
			steps.map(async step => {
				await setTimeout(step.atMs);
				await this.take(step);
			}),
		);
		await Promise.all(this.hosts.map(async host => host.startDaemon()));
		broken.push(...(await this.serveAll('after the last fault')));
		abort.abort();
		await Promise.all([...callers, ...reports]);
		const {sent, runs, drains, stops, versions} = this;
		const record = {sent, runs, drains, stops, harm, versions};
		const logs = new Map(this.hosts.map(({name, log}) => [name, log]));
		return {broken: [...broken, ...brokenPromises(record)], steps, record, logs};
	}

	private startCallers(signal: AbortSignal): Array<Promise<void>> {
		const {clock, callersPerHost} = this.opts;
		return this.hosts.flatMap(host =>
			Array.from({length: callersPerHost}, async (_, index) =>
				runSoakCaller(
					{
						name: `${host.name}-c${index + 1}`,
						host,
						clock,
						random: this.random,
						newestPrefix: () => soakConfiguration.prefixOf(this.version),
						onSent: sent => this.sent.push(sent),
					},
					signal,
				),
			),
		);
	}

	/** Writes the next version of the configuration as an operator does. */
	private configure(): void {
		this.version++;
		this.versions.set(soakConfiguration.prefixOf(this.version), this.version);
		this.platform.write('config', 'main', soakConfiguration.of(this.version));
	}

	private async take(step: Step): Promise<void> {
		if ('host' in step) {
			return this.takeOnHost(step, this.hosts[step.host]!);
		}

		if (step.kind === 'configure') {
			this.configure();
			return;
		}

		this.platform.setFaults(storeFaults[step.kind]);
		await setTimeout(step.forMs);
		this.platform.setFaults({});
	}

	private async takeOnHost(step: Extract<Step, {host: number}>, host: SoakHost): Promise<void> {
		switch (step.kind) {
			case 'link': {
				const relay = host.relays[step.link];
				relay.setFault(step.fault);
				await setTimeout(step.forMs);
				relay.setFault(linkFaults.none);
				return;
			}

			case 'pause': {
				host.signal('SIGSTOP');
				await setTimeout(step.forMs);
				host.signal('SIGCONT');
				return;
			}

			case 'kill': {
				return host.restartDaemon('SIGKILL');
			}

			case 'stop': {
				const {name, life} = host;
				if (host.beginStop()) {
					this.stops.push({host: name, life, atMs: this.opts.clock.monotonic()});
				}

				return host.restartDaemon('SIGTERM');
			}

			case 'reload': {
				host.signal('SIGHUP');
				return;
			}

			case 'crash-upstream': {
				return host.replaceUpstream();
			}

			case 'drain': {
				const instance = await host.drainUpstream();
				if (instance !== undefined) {
					this.drains.push({instance, confirmedMs: this.opts.clock.monotonic()});
				}

				await setTimeout(finishMs);
				return host.replaceUpstream();
			}
		}
	}

	/** Waits until every host serves both services; a line for each that does not in time. */
	private async serveAll(when: string): Promise<string[]> {
		const signal = AbortSignal.timeout(recoverMs);
		const name = when.replaceAll(' ', '-');
		const {clock} = this.opts;
		const onSent = (sent: Sent) => this.sent.push(sent);
		const lines = await Promise.all(
			this.hosts.flatMap(host =>
				['/look/', '/pay/'].map(async prefix => {
					const isIdempotent = prefix === '/look/';
					const opts = {clock, host, prefix, isIdempotent, name, onSent};
					return (await untilServed(opts, signal))
						? []
						: [`${host.name} does not serve ${prefix} ${when}`];
				}),
			),
		);
		return lines.flat();
	}
}
