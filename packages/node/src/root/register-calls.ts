import {type AwilixContainer, asFunction} from 'awilix';
import {events, Fault, faultKinds} from '@medlarsaddle/core';
import {RetryBudget} from '@medlarsaddle/control';
import {memberStates, rumorKinds} from '@medlarsaddle/members';
import {OutcomeHistory} from '@medlarsaddle/report';
import {type CallOutcome, messageTypes, runStates} from '@medlarsaddle/wire';
import {AnswerStore} from '../calls/answer-store.js';
import {CallSender} from '../calls/call-sender.js';
import {Forwarder} from '../calls/forwarder.js';
import {KeyedCallRunner} from '../calls/keyed-call-runner.js';
import {Router} from '../calls/router.js';
import {countLocalHolders} from '../peers/count-local-holders.js';
import type {Handlers} from '../peers/handlers.js';
import {refusalOf} from '../peers/refusal-of.js';
import {createOutcomeRecorder} from '../report/create-outcome-recorder.js';
import {InFlightCalls} from '../upstream/in-flight-calls.js';
import {LoadTracker} from '../upstream/load-tracker.js';
import {UpstreamProxy} from '../upstream/upstream-proxy.js';
import type {Cradle} from './cradle.js';
import {floorsOf} from './floors-of.js';

/**
 * Registers the path of a call: the proxy of the local upstream, the call sender, the runner of
 * keyed calls and the router.
 *
 * @example
 * registerCalls(container);
 */
export const registerCalls = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
		answers: singleton(({clock}) => AnswerStore.create(clock)),
		inFlight: singleton(({clock, self}) =>
			InFlightCalls.create(clock, self.incarnation.toString(36)),
		),
		upstream: singleton(createUpstreamProxy),
		loadTracker: singleton(({clock, directory}) =>
			LoadTracker.create({clock, hostsByService: () => directory.hostsByService}),
		),
		selector: singleton(({strategy, clock, random, directory, self}) =>
			strategy.createSelector({
				clock,
				random,
				directory,
				self: self.id,
				dataCentre: self.dataCentre,
			}),
		),
		sender: singleton(
			({
				clock,
				log,
				directory,
				peers,
				upstream,
				self,
				settings,
				selector,
				strategy,
				gossip,
				lifecycle,
			}) =>
				CallSender.create({
					clock,
					log,
					directory,
					peers,
					upstream,
					selfId: self.id,
					selector,
					createRetryBudget: () =>
						RetryBudget.create({
							ratio: settings.retryRatio,
							maxTokens: () => settings.retryBurst / gossip.table.alive.length,
						}),
					freeRetryFaults: strategy.freeRetryFaults,
					sharesRetries: strategy.sharesRetries,
					stopWindow: () => lifecycle.stopWindow,
					hasRetryBudget: settings.admission === 'on',
				}),
		),
		keyedCalls: singleton(({clock, ledger, answers, sender, peers, directory, gossip}) =>
			KeyedCallRunner.create({
				clock,
				ledger,
				answers,
				sender,
				peers,
				directory,
				gossip,
			}),
		),
		router: singleton(cradle =>
			Router.create({
				clock: cradle.clock,
				config: cradle.config,
				inFlight: cradle.inFlight,
				sender: cradle.sender,
				keyedCalls: cradle.keyedCalls,
				directory: cradle.directory,
				peers: cradle.peers,
				gossip: cradle.gossip,
				isAdmissionEnabled: cradle.settings.admission === 'on',
				onEnded: createOutcomeRecorder(cradle),
			}),
		),
		forwarder: singleton(createForwarder),
		handlers: singleton(createHandlers),
	});
};

const createForwarder = (cradle: Cradle): Forwarder => {
	const {clock, random, log, config, sender, metrics, loadTracker, settings, lifecycle} = cradle;
	return Forwarder.create({
		clock,
		random,
		log,
		config,
		sender,
		loadTracker,
		drainingFault: () => lifecycle.drainingFault(),
		origin: settings.service ?? '',
		onEnded(route, {result}, elapsedMs) {
			const outcome = result.kind === 'answer' ? String(result.status) : result.fault;
			metrics.countRequest(route?.name ?? '', outcome, elapsedMs);
		},
	});
};

const createUpstreamProxy = (cradle: Cradle): UpstreamProxy => {
	const {clock, log, settings, self, inFlight, quarantine, config, strategy, loadTracker} = cradle;
	return UpstreamProxy.create({
		clock,
		log,
		host: settings.host,
		node: self.id,
		maxBodyBytes: settings.maxBodyBytes,
		budget: cradle.peerBudget,
		inFlight,
		protocol: cradle.protocol,
		quarantine,
		createAdmission: ({slots, connections}) =>
			strategy.createAdmission({
				clock,
				floors: floorsOf(config),
				slots,
				connections,
				isEnabled: settings.admission === 'on',
			}),
		loadTracker,
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

const offersOf = ({upstream}: Cradle) => {
	const {announced} = upstream;
	return announced
		? [{service: announced.service, slots: announced.slots, draining: upstream.isDraining}]
		: [];
};

const createHandlers = (cradle: Cradle): Handlers => {
	const {upstream, keyedCalls, router, config, gossip, lifecycle, ledger, collector} = cradle;
	type CallHandler = Handlers['run'];

	/**
	 * After a pause of the process, calls wait until the node has rejoined. By then, cancellations
	 * that arrived after them during the pause have been read too.
	 */
	const afterRejoin =
		(handle: CallHandler, run: (typeof runStates)[keyof typeof runStates]): CallHandler =>
		async (request, signal, onStalled): Promise<CallOutcome> => {
			if (!lifecycle.isLeaseExpired) {
				return handle(request, signal, onStalled);
			}

			const remainingMs = request.remainingMs - (await lifecycle.waitUntilRejoined());
			return signal.aborted || remainingMs <= 0
				? refusalOf(pausedTooLong, run, request.allowance)
				: handle({...request, remainingMs}, signal, onStalled);
		};

	const tracked =
		(handle: CallHandler): CallHandler =>
		async (request, signal, onStalled) => {
			const call = handle(request, signal, onStalled);
			lifecycle.track(call.then(() => {}));
			return call;
		};

	return {
		run: tracked(
			afterRejoin(
				async (request, signal, onStalled) => upstream.run(request, signal, onStalled),
				runStates.notRun,
			),
		),
		own: tracked(afterRejoin(keyedCalls.run, runStates.unknown)),
		spill: tracked(afterRejoin(router.spill, runStates.notRun)),
		sync: ({id, versions, wantsMembers}) => ({
			type: messageTypes.synced,
			id,
			sections: config.newerThan(versions),
			members: wantsMembers
				? gossip.table.all.filter(({state}) => state === memberStates.alive)
				: [],
		}),
		keyDone: keyedCalls.keyDone,
		keyQuery: keyedCalls.keyQuery,
		async count({id, section, version, isForCollector}) {
			const counts = isForCollector
				? {held: gossip.rollout.count(section, version), members: gossip.table.alive.length}
				: await countLocalHolders(cradle, section, version);
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
			collector.add({from, sequence, shard, history: OutcomeHistory.of(rows)});
			return {type: messageTypes.rolledUp, id};
		},
		drain({id, draining}) {
			upstream.setDraining(draining);
			return {type: messageTypes.drained, id};
		},
	};
};

const pausedTooLong = Fault.of(
	faultKinds.draining,
	'The node beside the upstream was paused for longer than the call could wait',
	'Send the call again; it will go to another host',
);
