import {type AwilixContainer, asFunction} from 'awilix';
import {errorText, events, limitLog} from '@medlarsaddle/core';
import {ByteBudget, KeyLedger, Quarantine} from '@medlarsaddle/control';
import {Gossip, gossipTiming, rumorKinds} from '@medlarsaddle/members';
import {Supervisor} from '@medlarsaddle/supervise';
import {codec} from '@medlarsaddle/wire';
import {EndpointDirectory} from '../calls/endpoint-directory.js';
import {Config} from '../config/config.js';
import {StoreHealth} from '../config/store-health.js';
import {applySuspectRumor} from '../peers/apply-suspect-rumor.js';
import {Peers} from '../peers/peers.js';
import {SectionFetcher} from '../peers/section-fetcher.js';
import {syncWith} from '../peers/sync-with.js';
import type {Cradle} from './cradle.js';
import {heldBytes} from './held-bytes.js';
import {Lifecycle} from './lifecycle.js';

/**
 * Registers the control plane: membership, connections to other nodes, policy and the platform's
 * store.
 *
 * @example
 * registerControlPlane(container);
 */
export const registerControlPlane = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
		lifecycle: singleton(({clock}) => Lifecycle.create({clock, leaseMs: gossipTiming.leaseMs})),
		config: singleton(({log}) => Config.create({log})),
		health: singleton(() => StoreHealth.create()),
		store: singleton(({clock, settings, metrics, canReach, openStore}) =>
			settings.storeUrl === undefined
				? undefined
				: openStore?.({
						url: settings.storeUrl,
						clock,
						canReach,
						onCall(kind) {
							metrics.storeCalls.inc({kind});
						},
					}),
		),
		callerBudget: singleton(cradle =>
			createBudget(cradle, heldBytes(cradle.settings.memoryMb).callers),
		),
		peerBudget: singleton(cradle =>
			createBudget(cradle, heldBytes(cradle.settings.memoryMb).peers),
		),
		quarantine: singleton(({clock}) => Quarantine.create({clock})),
		ledger: singleton(({clock, self, secret}) =>
			KeyLedger.create({
				clock,
				dataCentre: self.group,
				node: self.id,
				incarnation: self.incarnation,
				secret,
			}),
		),
		directory: singleton(cradle => EndpointDirectory.create(() => cradle.gossip)),
		peerSupervisor: singleton(({clock, log}) => Supervisor.create({name: 'peers', clock, log})),
		connectionSupervisor: singleton(({clock, log}) =>
			Supervisor.create({name: 'connections', clock, log}),
		),
		peers: singleton(cradle =>
			Peers.create({
				clock: cradle.clock,
				log: cradle.log,
				supervisor: cradle.peerSupervisor,
				self: () => cradle.gossip.self,
				canReach: cradle.canReach,
				// Answers wait while callers read too slowly what is held for them.
				budgets: {receiving: cradle.callerBudget, sending: cradle.peerBudget},
			}),
		),
		gossip: singleton(createGossip),
	});
};

/** A crowd of clients may have many bodies given up. */
const givenUpLog = {maxLines: 20, periodMs: 1000};

const createBudget = ({clock, log}: Cradle, capacityBytes: number): ByteBudget => {
	const limited = limitLog({log, clock, ...givenUpLog});
	return ByteBudget.create({
		clock,
		capacityBytes,
		onEvicted(bytes) {
			limited(events.bodyGivenUp, {bytes});
		},
	});
};

const createGossip = (cradle: Cradle): Gossip => {
	const {clock, random, log, self, settings, datagrams, config, metrics, directory, strategy} =
		cradle;
	const fetcher = SectionFetcher.create({
		clock,
		log,
		dataCentre: self.dataCentre,
		versionOf: name => config.policy.versionOf(name),
		fetchFrom: async member => syncWith(cradle, member),
	});

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
			if (isClosed || !cradle.canReach(host, port)) {
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
				return applySuspectRumor(cradle, rumor);
			}

			// The rumor is passed on only once this node holds the section, so that a node that receives
			// the rumor can fetch the section here.
			if (from) {
				fetcher.noteAnnounced(rumor.name, rumor.version, from);
			}

			return false;
		},
		onDivergence(member) {
			syncWith(cradle, member).catch((error: unknown) => {
				log(events.syncFailed, {peer: member.id, error: errorText(error)});
			});
		},
		onMembersChanged() {
			directory.invalidate();
			cradle.selector.retainOnly(directory.nodes);
		},
		onIdConflict() {
			log(events.memberRefuted, {heard: 'another process runs under this node ID'});
			if (!strategy.keepsNodeId) {
				cradle.lifecycle.startDraining();
			}

			return strategy.keepsNodeId;
		},
	});
};
