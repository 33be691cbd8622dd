import {type AwilixContainer, asFunction} from 'awilix';
import {events, Fault, faultKinds} from '@medlarsaddle/core';
import {RetryRatio} from '@medlarsaddle/control';
import {memberStates, rumorKinds} from '@medlarsaddle/members';
import {History} from '@medlarsaddle/report';
import {type CallOutcome, messageTypes, runStates} from '@medlarsaddle/wire';
import {AnswerStore} from '../calls/answer-store.js';
import {CallSender} from '../calls/call-sender.js';
import {Forwarder} from '../calls/forwarder.js';
import {KeyedCallRunner} from '../calls/keyed-call-runner.js';
import {Router} from '../calls/router.js';
import {countHeld} from '../peers/count-held.js';
import type {Handlers} from '../peers/handlers.js';
import {refusalOf} from '../peers/refusals.js';
import {observe} from '../report/observe.js';
import {InFlightCalls} from '../upstream/in-flight-calls.js';
import {LoadTracker} from '../upstream/load-tracker.js';
import {UpstreamProxy} from '../upstream/upstream-proxy.js';
import type {Cradle} from './cradle.js';
import {floorsOf} from './floors-of.js';

/**
 * Registers what carries calls: the slot, the carrier, the owner of keys and the router.
 *
 * @example
 * registerCalls(container);
 */
export const registerCalls = (container: AwilixContainer<Cradle>): void => {
	const once = <Value>(make: (cradle: Cradle) => Value) => asFunction(make).singleton();
	container.register({
		answers: once(({clock}) => AnswerStore.create(clock)),
		inFlight: once(({clock, self}) => InFlightCalls.create(clock, self.incarnation.toString(36))),
		slot: once(createSlot),
		pressure: once(({clock, directory}) =>
			LoadTracker.create({clock, hostsByService: () => directory.hostsByService}),
		),
		selector: once(({strategy, clock, random, directory, self}) =>
			strategy.createSelector({clock, random, directory, dataCentre: self.dataCentre}),
		),
		carrier: once(
			({clock, log, directory, peers, slot, self, settings, selector, strategy, gossip}) =>
				CallSender.create({
					clock,
					log,
					directory,
					peers,
					upstream: slot,
					selfId: self.id,
					selector,
					createRetryRatio: () =>
						RetryRatio.create({
							ratio: settings.retryRatio,
							maxTokens: Math.max(1, settings.retryBurst / gossip.table.alive.length),
						}),
					freeRetryFaults: strategy.freeFaults,
					hasRetryBudget: settings.admission === 'on',
				}),
		),
		owner: once(({clock, ledger, answers, carrier, peers, directory, gossip}) =>
			KeyedCallRunner.create({
				clock,
				ledger,
				store: answers,
				sender: carrier,
				peers,
				directory,
				gossip,
			}),
		),
		router: once(cradle =>
			Router.create({
				clock: cradle.clock,
				config: cradle.config,
				inFlight: cradle.inFlight,
				sender: cradle.carrier,
				keyedCalls: cradle.owner,
				directory: cradle.directory,
				peers: cradle.peers,
				gossip: cradle.gossip,
				isAdmissionEnabled: cradle.settings.admission === 'on',
				onEnded: observe(cradle),
			}),
		),
		forwarder: once(createForwarder),
		handlers: once(createHandlers),
	});
};

const createForwarder = (cradle: Cradle): Forwarder => {
	const {clock, random, log, config, carrier, metrics, pressure, settings, lifecycle} = cradle;
	return Forwarder.create({
		clock,
		random,
		log,
		config,
		sender: carrier,
		loadTracker: pressure,
		drainingFault: () => lifecycle.closedBy(),
		origin: settings.service ?? '',
		onEnded(route, {result}, elapsedMs) {
			const outcome = result.kind === 'answer' ? String(result.status) : result.fault;
			metrics.countRequest(route?.name ?? '', outcome, elapsedMs);
		},
	});
};

const createSlot = (cradle: Cradle): UpstreamProxy => {
	const {clock, log, settings, self, inFlight, quarantine, config, strategy, pressure} = cradle;
	return UpstreamProxy.create({
		clock,
		log,
		host: settings.host,
		node: self.id,
		maxBodyBytes: settings.maxBodyBytes,
		inFlight,
		protocol: cradle.protocol,
		quarantine,
		createAdmission: ({slots, connections}) =>
			strategy.createAdmission({
				clock,
				floors: floorsOf(config),
				slots,
				connections,
				enabled: settings.admission === 'on',
			}),
		loadTracker: pressure,
		onOfferChanged() {
			cradle.gossip.updateSelf({offers: offersOf(cradle)});
		},
		onSuspects(suspects) {
			for (const suspect of suspects) {
				cradle.gossip.spread({kind: rumorKinds.suspect, id: suspect.fingerprint, body: suspect});
				if (quarantine.isHeld(suspect.fingerprint)) {
					const {fingerprint, service, job} = suspect;
					log(events.requestQuarantined, {fingerprint, service, job});
				}
			}
		},
	});
};

const offersOf = ({slot}: Cradle) => {
	const {announced} = slot;
	return announced
		? [{service: announced.service, slots: announced.slots, draining: slot.isDraining}]
		: [];
};

const createHandlers = (cradle: Cradle): Handlers => {
	const {clock, slot, owner, router, config, gossip, lifecycle, ledger, collector} = cradle;
	type Handle = Handlers['run'];

	/**
	 * After a pause, calls wait until the node has rejoined. By then the cancellations that piled up
	 * behind them have been read as well.
	 */
	const onceRejoined =
		(handle: Handle, run: (typeof runStates)[keyof typeof runStates]): Handle =>
		async (request, signal): Promise<CallOutcome> => {
			if (!lifecycle.lapsed) {
				return handle(request, signal);
			}

			const startMs = clock.monotonic();
			await lifecycle.mayAct();
			const remainingMs = request.remainingMs - (clock.monotonic() - startMs);
			return signal.aborted || remainingMs <= 0
				? refusalOf(lapsed, run, request.allowance)
				: handle({...request, remainingMs}, signal);
		};

	const tracked =
		(handle: Handle): Handle =>
		async (request, signal) => {
			const call = handle(request, signal);
			lifecycle.track(call.then(() => {}));
			return call;
		};

	return {
		run: tracked(
			onceRejoined(async (request, signal) => slot.run(request, signal), runStates.notRun),
		),
		own: tracked(onceRejoined(owner.run, runStates.unknown)),
		spill: tracked(onceRejoined(router.spill, runStates.notRun)),
		sync: ({id, versions, wantsMembers}) => ({
			type: messageTypes.synced,
			id,
			sections: config.newerThan(versions),
			members: wantsMembers
				? gossip.table.all.filter(({state}) => state === memberStates.alive)
				: [],
		}),
		keyDone: owner.keyDone,
		keyAsk: owner.keyQuery,
		async count({id, section, version, isForCollector}) {
			const counts = isForCollector
				? {held: gossip.rollout.count(section, version), members: gossip.table.alive.length}
				: await countHeld(cradle, section, version);
			return {type: messageTypes.counted, id, ...counts};
		},
		inherit({id, records, estates}) {
			ledger.importRecords(records);
			if (estates) {
				ledger.adoptIssuers(estates);
				gossip.updateSelf({inherits: ledger.inheritedIssuers});
			}

			return {type: messageTypes.inherited, id};
		},
		rollUp({id, from, sequence, shard, rows}) {
			collector.take({from, sequence, shard, history: History.of(rows)});
			return {type: messageTypes.rolledUp, id};
		},
		drain({id, draining}) {
			slot.setDraining(draining);
			return {type: messageTypes.drained, id};
		},
	};
};

const lapsed = Fault.of(
	faultKinds.draining,
	'The node beside the upstream was paused for longer than the call could wait',
	'Send the call again; it will go to another host',
);
