import {once} from 'node:events';
import {rumorKinds} from '@medlarsaddle/members';
import {Shard} from '@medlarsaddle/records';
import {type Child, Supervisor, type Task, restartPolicies} from '@medlarsaddle/supervise';
import {serveHttp} from '../callers/serve-http.js';
import {watchShard} from '../config/watch-shard.js';
import {acceptConnections} from '../peers/accept-connections.js';
import {receiveDatagrams} from '../peers/receive-datagrams.js';
import {serveConnection} from '../peers/serve-connection.js';
import {closeWindows} from '../upstream/close-windows.js';
import {probeUpstream} from '../upstream/probe-upstream.js';
import type {Cradle} from './cradle.js';
import {floorsOf} from './floors-of.js';
import {renewLease} from './renew-lease.js';

const readersPerShard = 2;
const repeatReportMs = 1000;

/**
 * Builds the supervisor tree of a node. Its branches are named after the folders, and later ones
 * depend on earlier ones. Attached parts, if any, are the last branch.
 *
 * @example
 * await buildTree(cradle).run(signal, () => {});
 */
export const buildTree = (cradle: Cradle, attached?: readonly Child[]): Supervisor => {
	const {clock, log} = cradle;
	const branch = (name: string, children: readonly Child[]): Child =>
		permanentChild(name, Supervisor.create({name, clock, log}, children).run);

	return Supervisor.create({name: 'node', clock, log}, [
		branch('peers', peerTasks(cradle)),
		branch('config', configTasks(cradle)),
		branch('upstream', [
			permanentChild('windows', closeWindows(cradle)),
			permanentChild('probe', probeUpstream(cradle)),
		]),
		...(attached
			? [
					branch('callers', [permanentChild('caller-side', serveHttp(cradle.callerApp))]),
					branch('attached', attached),
				]
			: [
					branch('report', [permanentChild('roll-up', cradle.rollUp.run)]),
					branch('operators', [permanentChild('grpc', serveOperators(cradle))]),
					branch('callers', [
						permanentChild('upstream-side', serveHttp(cradle.upstreamApp)),
						permanentChild('caller-side', serveHttp(cradle.callerApp)),
					]),
				]),
	]);
};

const permanentChild = (name: string, task: Task): Child => ({
	name,
	task,
	restart: restartPolicies.always,
});

const peerTasks = (cradle: Cradle): Child[] => {
	const {clock, log, datagrams, gossip, metrics, peerServer, handlers} = cradle;
	const {connectionSupervisor, peerSupervisor, peerBudget} = cradle;
	return [
		permanentChild('connections', connectionSupervisor.run),
		permanentChild('links', peerSupervisor.run),
		permanentChild(
			'listener',
			acceptConnections({
				server: peerServer,
				supervisor: connectionSupervisor,
				serve: socket => serveConnection({clock, log, handlers, budget: peerBudget}, socket),
			}),
		),
		permanentChild(
			'datagrams',
			receiveDatagrams({
				socket: datagrams,
				log,
				receive: gossip.receive,
				onBytes(count) {
					metrics.countDatagram('in', count);
				},
			}),
		),
		permanentChild('probes', gossip.probeLoop),
		permanentChild('lease', renewLease(cradle)),
	];
};

const configTasks = (cradle: Cradle): Child[] => {
	const {clock, random, log, config, health, store, gossip} = cradle;
	const isReader = (shard: string) => gossip.hasRole(`reader ${shard}`, readersPerShard);
	const readers = store
		? Shard.names.map(shard =>
				permanentChild(
					shard,
					watchShard({store, clock, random, log, config, health, isReader}, shard),
				),
			)
		: [];
	return [permanentChild('announce', announceSections(cradle)), ...readers];
};

/** Announces each section that comes into force to other nodes and updates the admission floors. */
const announceSections =
	({config, gossip, upstream, clock}: Cradle): Task =>
	async (signal, ready) => {
		config.onSection(({name, version}) => {
			gossip.spread({kind: rumorKinds.section, name, version});
			gossip.rollout.report(name, version);
			// Reported again, since the first report may be lost.
			const cancel = clock.after(repeatReportMs, () => {
				signal.removeEventListener('abort', cancel);
				gossip.rollout.report(name, version);
			});
			signal.addEventListener('abort', cancel);
			upstream.setFloors(floorsOf(config));
		}, signal);
		ready();
		await once(signal, 'abort');
	};

const serveOperators =
	({operatorServer, store}: Cradle): Task =>
	async (signal, ready) => {
		ready();
		await once(signal, 'abort');
		operatorServer.forceShutdown();
		await store?.close();
	};
