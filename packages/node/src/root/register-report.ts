import {type AwilixContainer, asFunction} from 'awilix';
import {issuerName} from '@medlarsaddle/control';
import {Tally} from '@medlarsaddle/report';
import {Collector} from '../report/collector.js';
import {Explanations} from '../report/explanations.js';
import {Metrics} from '../report/metrics.js';
import {RollUp} from '../report/roll-up.js';
import type {Cradle} from './cradle.js';

/**
 * Registers what the node tells of itself: counts and their roll-up, explanations and metrics.
 *
 * @example
 * registerReport(container);
 */
export const registerReport = (container: AwilixContainer<Cradle>): void => {
	const once = <Value>(make: (cradle: Cradle) => Value) => asFunction(make).singleton();
	container.register({
		tally: once(() => Tally.create()),
		explanations: once(() => Explanations.create()),
		collector: once(({clock, log, store, self}) =>
			Collector.create({
				clock,
				log,
				store,
				dataCentre: self.dataCentre,
				issuer: issuerName(self.id, self.incarnation),
			}),
		),
		rollUp: once(({clock, random, gossip, peers, tally, collector, self, settings, metrics}) =>
			RollUp.create({
				clock,
				random,
				gossip,
				peers,
				tally,
				collector,
				issuer: issuerName(self.id, self.incarnation),
				periodMs: settings.rollUpMs,
				onBytes(count) {
					metrics.reportBytes.inc(count);
				},
			}),
		),
		metrics: once(cradle =>
			Metrics.create({
				inFlight: () => cradle.slot.admission?.inFlight ?? 0,
				waiting: () => cradle.slot.admission?.waiting ?? 0,
				limit: () => cradle.slot.admission?.limitValue ?? 0,
				members: () => cradle.gossip.table.alive.length,
				peers: () => cradle.peers.size,
				keys: () => cradle.ledger.size,
			}),
		),
	});
};
