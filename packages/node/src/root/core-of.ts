import {events} from '@medlarsaddle/core';
import type {Cradle} from './cradle.js';
import type {NodeCore} from './node-core.js';

/**
 * What a composed node offers to the parts that are attached to it.
 *
 * @example
 * const children = attach(coreOf(cradle));
 */
export const coreOf = (cradle: Cradle): NodeCore => {
	const {settings, clock, random, log, config, gossip, slot, forwarder, lifecycle, health} = cradle;
	return {
		settings,
		clock,
		random,
		log,
		self: () => gossip.self,
		members: () => gossip.table.alive,
		routes: () => config.policy.routes,
		versionOf: section => config.policy.versionOf(section),
		takeSection: (section, source) => config.take(section, source),
		onSection(listener, signal) {
			config.onSection(listener, signal);
		},
		async forward(arrival, signal) {
			await lifecycle.mayAct();
			const call = forwarder.forward(arrival, signal);
			lifecycle.track(call.then(() => {}));
			return call;
		},
		announceUpstream(announced) {
			slot.announce(announced);
		},
		announcedUpstream: () => slot.announced,
		withdrawUpstream() {
			slot.withdraw();
		},
		greet: gossip.join,
		isChosen: (role, count) => gossip.hasRole(role, count),
		isReady: () => lifecycle.isReady,
		closedBy: () => lifecycle.closedBy(),
		countStoreCall(kind) {
			cradle.metrics.storeCalls.inc({kind});
		},
		noteStore(isAnswered, error) {
			if (isAnswered && health.answered()) {
				log(events.storeAvailable);
			} else if (!isAnswered && health.failed()) {
				log(events.storeUnavailable, {error});
			}
		},
	};
};
