import {events} from '@medlarsaddle/core';
import {rumorKinds} from '@medlarsaddle/members';
import {nextTurn} from '../config/next-turn.js';
import type {Cradle} from './cradle.js';
import type {NodeCore} from './node-core.js';

/**
 * Interface of a composed node for the parts that are attached to it.
 *
 * @example
 * const children = attach(coreOf(cradle));
 */
export const coreOf = (cradle: Cradle): NodeCore => {
	const {settings, clock, random, log, config, gossip, upstream, forwarder, lifecycle, health} =
		cradle;
	const {callerBudget} = cradle;
	return {
		settings,
		clock,
		random,
		log,
		callerBudget,
		self: () => gossip.self,
		members: () => gossip.table.alive,
		routes: () => config.policy.routes,
		versionOf: section => config.policy.versionOf(section),
		applySection: (section, source) => config.apply(section, source),
		onSection(listener, signal) {
			config.onSection(listener, signal);
		},
		async forward(incoming, signal) {
			const waitedMs = await lifecycle.waitUntilRejoined();
			const remainingMs =
				incoming.remainingMs === undefined ? undefined : incoming.remainingMs - waitedMs;
			const call = forwarder.forward({...incoming, remainingMs}, signal);
			lifecycle.track(call.then(() => {}));
			return call;
		},
		announceUpstream(announced) {
			upstream.announce(announced);
		},
		announcedUpstream: () => upstream.announced,
		withdrawUpstream() {
			upstream.withdraw();
		},
		join: gossip.join,
		hasRole: (role, count) => gossip.hasRole(role, count),
		hasStoreRole: role => gossip.hasStoreRole(role),
		nextStoreTurn: (role, times) => nextTurn({gossip, role, ...times}),
		sendReaderHeartbeat(role, heartbeat) {
			const rumors = Object.entries(config.versions).map(([name, version]) => ({
				kind: rumorKinds.section,
				name,
				version,
			}));
			gossip.readerHeartbeats.send(role, heartbeat, rumors);
		},
		onReaderHeartbeat(listener, signal) {
			gossip.readerHeartbeats.onHeartbeat(listener, signal);
		},
		announceStoreLost(isLost) {
			if ((gossip.self.hasLostStore ?? false) !== isLost) {
				gossip.updateSelf({hasLostStore: isLost});
			}
		},
		isReady: () => lifecycle.isReady,
		drainingFault: () => lifecycle.drainingFault(),
		countStoreCall(kind) {
			cradle.metrics.storeCalls.inc({kind});
		},
		recordStoreHealth(isAnswered, error) {
			if (isAnswered && health.recordSuccess()) {
				log(events.storeAvailable);
			} else if (!isAnswered && health.recordFailure()) {
				log(events.storeUnavailable, {error});
			}
		},
	};
};
