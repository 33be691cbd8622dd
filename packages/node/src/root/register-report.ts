import {type AwilixContainer, asFunction} from 'awilix';
import {issuerName} from '@medlarsaddle/control';
import {Tally} from '@medlarsaddle/report';
import {Collector} from '../report/collector.js';
import {Explanations} from '../report/explanations.js';
import {Metrics} from '../report/metrics.js';
import {RollUp} from '../report/roll-up.js';
import type {Cradle} from './cradle.js';

/**
 * Registers observability: outcome counts and their roll-up, explanations and metrics.
 *
 * @example
 * registerReport(container);
 */
export const registerReport = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
		tally: singleton(() => Tally.create()),
		explanations: singleton(() => Explanations.create()),
		collector: singleton(({clock, log, store, self}) =>
			Collector.create({
				clock,
				log,
				store,
				dataCentre: self.dataCentre,
				issuer: issuerName(self.id, self.incarnation),
			}),
		),
		rollUp: singleton(({clock, random, gossip, peers, tally, collector, self, settings, metrics}) =>
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
		metrics: singleton(cradle =>
			Metrics.create({
				inFlight: () => cradle.upstream.admission?.inFlight ?? 0,
				waiting: () => cradle.upstream.admission?.waiting ?? 0,
				limit: () => cradle.upstream.admission?.limitValue ?? 0,
				members: () => cradle.gossip.table.alive.length,
				peers: () => cradle.peers.size,
				keys: () => cradle.ledger.size,
				heldBytes: () => cradle.callerBudget.heldBytes,
				waitingBodies: () => cradle.callerBudget.waitingCount,
				peerBytes: () => cradle.peerBudget.heldBytes,
			}),
		),
	});
};
