import {setTimeout} from 'node:timers/promises';
import type {Clock} from '@medlarsaddle/core';
import {linkFaults} from './link-faults.js';
import {oversizedHeads} from './oversized-heads.js';
import {sendOddRequests} from './send-odd-requests.js';
import type {SoakHost} from './soak-host.js';
import type {SoakRecord} from './soak-record.js';
import type {Step} from './step.js';

type Deps = {
	readonly clock: Clock;
	/** Takes the upstreams whose leaving is confirmed. */
	readonly drains: Array<SoakRecord['drains'][number]>;
	/** Takes the planned stops. */
	readonly stops: Array<SoakRecord['stops'][number]>;
	/** Takes the answers that the upstream of a host is to spoil, by host name. */
	readonly spoiltAnswers: Map<string, string[]>;
};

/**
 * Time that a drained upstream has to finish its calls, in milliseconds: longer than `drainMs` of the
 * platform.
 */
const drainWaitMs = 2500;

/** Time in which reports of the upstream follow that of another writer, in milliseconds. */
const foreignLeadMs = 1200;

/** Time in which calls begin to wait for silent connections, in milliseconds. */
const silentLeadMs = 100;

/**
 * Applies a step that concerns one host, and records what it promises.
 *
 * @example
 * await applyHostStep({clock, drains, stops, spoiltAnswers}, step, hosts[step.host]);
 */
export const applyHostStep = async (
	{clock, drains, stops, spoiltAnswers}: Deps,
	step: Extract<Step, {host: number}>,
	host: SoakHost,
): Promise<void> => {
	const noteDrain = (instance: string) => {
		drains.push({instance, confirmedMs: clock.monotonic()});
	};

	const drain = async () => {
		const instance = await host.drainUpstream();
		if (instance !== undefined) {
			noteDrain(instance);
		}

		await setTimeout(drainWaitMs);
		return host.replaceUpstream();
	};

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
			const {name, startCount} = host;
			if (host.requestStop()) {
				stops.push({host: name, life: startCount, atMs: clock.monotonic()});
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

		case 'spoil': {
			spoiltAnswers.set(host.name, [...oversizedHeads]);
			return sendOddRequests(host.relays.callers.port);
		}

		case 'depart-and-kill': {
			await host.restartAfterDeparture(noteDrain);
			await setTimeout(drainWaitMs);
			return host.replaceUpstream();
		}

		case 'drain': {
			return drain();
		}

		case 'foreign-report-and-drain': {
			await host.reportOfAnother();
			await setTimeout(foreignLeadMs);
			return drain();
		}

		case 'silence-and-drain': {
			host.relays.upstream.silenceOpen();
			await setTimeout(silentLeadMs);
			return drain();
		}
	}
};
