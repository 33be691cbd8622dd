import {type AwilixContainer, asFunction} from 'awilix';
import {events} from '@medlarsaddle/core';
import {KeyLedger, Quarantine} from '@medlarsaddle/control';
import {Gossip, gossipTiming, rumorKinds} from '@medlarsaddle/members';
import {Supervisor} from '@medlarsaddle/supervise';
import {codec} from '@medlarsaddle/wire';
import {EndpointDirectory} from '../calls/endpoint-directory.js';
import {Config} from '../config/config.js';
import {StoreHealth} from '../config/store-health.js';
import {learnRumor} from '../peers/learn-rumor.js';
import {Peers} from '../peers/peers.js';
import {syncWith} from '../peers/sync-with.js';
import type {Cradle} from './cradle.js';
import {Lifecycle} from './lifecycle.js';

/**
 * Registers what keeps the node in touch with others: membership, policy and the platform.
 *
 * @example
 * registerControl(container);
 */
export const registerControl = (container: AwilixContainer<Cradle>): void => {
	const once = <Value>(make: (cradle: Cradle) => Value) => asFunction(make).singleton();
	container.register({
		lifecycle: once(({clock}) => Lifecycle.create({clock, leaseMs: gossipTiming.leaseMs})),
		config: once(({log}) => Config.create({log})),
		health: once(() => StoreHealth.create()),
		store: once(({settings, metrics, reaches, openStore}) =>
			settings.storeUrl === undefined
				? undefined
				: openStore?.({
						url: settings.storeUrl,
						reaches,
						onCall(kind) {
							metrics.storeCalls.inc({kind});
						},
					}),
		),
		quarantine: once(({clock}) => Quarantine.create({clock})),
		ledger: once(({clock, self, secret}) =>
			KeyLedger.create({
				clock,
				dataCentre: self.group,
				node: self.id,
				incarnation: self.incarnation,
				secret,
			}),
		),
		directory: once(cradle => EndpointDirectory.create(() => cradle.gossip)),
		peerSupervisor: once(({clock, log}) => Supervisor.create({name: 'peers', clock, log})),
		connectionSupervisor: once(({clock, log}) =>
			Supervisor.create({name: 'connections', clock, log}),
		),
		peers: once(cradle =>
			Peers.create({
				clock: cradle.clock,
				log: cradle.log,
				supervisor: cradle.peerSupervisor,
				self: () => cradle.gossip.self,
				reaches: cradle.reaches,
			}),
		),
		gossip: once(createGossip),
	});
};

const createGossip = (cradle: Cradle): Gossip => {
	const {clock, random, log, self, settings, datagrams, config, metrics, directory, strategy} =
		cradle;
	const fetchFrom = (member: Parameters<typeof syncWith>[1]) => {
		void syncWith(cradle, member).catch(() => {});
	};

	let isClosed = false;
	datagrams.once('close', () => {
		isClosed = true;
	});

	return Gossip.create({
		clock,
		random,
		log,
		self,
		seeds: settings.seeds.map(seed => {
			const [host, port] = seed.split(':');
			return {host: host!, port: Number(port)};
		}),
		send({host, port}, datagram) {
			if (isClosed || !cradle.reaches(host, port)) {
				return;
			}

			const bytes = codec.encode(datagram);
			metrics.countDatagram('out', bytes.length);
			datagrams.send(bytes, port, host, () => {});
		},
		sizeOf: rumor => codec.encode(rumor).length,
		sectionsDigest: () => config.digest,
		onRumor(rumor, from) {
			if (rumor.kind !== rumorKinds.section) {
				return learnRumor(cradle, rumor);
			}

			// A section is passed on once its content is here, so that whoever hears of it can fetch it.
			const isNewer = () => rumor.version > config.policy.versionOf(rumor.name);
			if (from && isNewer()) {
				clock.after(strategy.fetchAfterMs, () => {
					if (isNewer()) {
						fetchFrom(from);
					}
				});
			}

			return false;
		},
		onDivergence: fetchFrom,
		onMembersChanged() {
			directory.invalidate();
			cradle.selector.retainOnly(directory.nodes);
		},
		onIdConflict() {
			log(events.memberRefuted, {heard: 'another process runs under this node ID'});
			if (!strategy.keepsId) {
				cradle.lifecycle.leave();
			}

			return strategy.keepsId;
		},
	});
};
