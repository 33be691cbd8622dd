import {once} from 'node:events';
import {rumorKinds} from '@medlarsaddle/members';
import {Shard} from '@medlarsaddle/records';
import {type Child, Supervisor, type Task, restartPolicies} from '@medlarsaddle/supervise';
import {serveHttp} from '../callers/serve-http.js';
import {watchShard} from '../config/watch-shard.js';
import {listen} from '../peers/listen.js';
import {receiveDatagrams} from '../peers/receive-datagrams.js';
import {serveConnection} from '../peers/serve-connection.js';
import {closeWindows} from '../upstream/close-windows.js';
import {probeUpstream} from '../upstream/probe-upstream.js';
import type {Cradle} from './cradle.js';
import {floorsOf} from './floors-of.js';
import {keepLease} from './keep-lease.js';

const shardReaders = 2;
const reportAgainMs = 1000;

/**
 * Builds the supervisor tree of a node. Its branches have the names of the folders, and later ones
 * rely on earlier ones. Attached parts, if there are any, are the last branch.
 *
 * @example
 * await buildTree(cradle).run(signal, () => {});
 */
export const buildTree = (cradle: Cradle, attached?: readonly Child[]): Supervisor => {
	const {clock, log} = cradle;
	const branch = (name: string, children: readonly Child[]): Child =>
		always(name, Supervisor.create({name, clock, log}, children).run);

	return Supervisor.create({name: 'node', clock, log}, [
		branch('peers', peerTasks(cradle)),
		branch('config', configTasks(cradle)),
		branch('upstream', [
			always('windows', closeWindows(cradle)),
			always('probe', probeUpstream(cradle)),
		]),
		...(attached
			? [
					branch('callers', [always('caller-side', serveHttp(cradle.callerApp))]),
					branch('attached', attached),
				]
			: [
					branch('report', [always('roll-up', cradle.rollUp.run)]),
					branch('operators', [always('grpc', serveOperators(cradle))]),
					branch('callers', [
						always('upstream-side', serveHttp(cradle.upstreamApp)),
						always('caller-side', serveHttp(cradle.callerApp)),
					]),
				]),
	]);
};

const always = (name: string, task: Task): Child => ({name, task, restart: restartPolicies.always});

const peerTasks = (cradle: Cradle): Child[] => {
	const {clock, log, datagrams, gossip, metrics, peerServer, handlers} = cradle;
	const {connectionSupervisor, peerSupervisor} = cradle;
	return [
		always('connections', connectionSupervisor.run),
		always('links', peerSupervisor.run),
		always(
			'listener',
			listen({
				server: peerServer,
				supervisor: connectionSupervisor,
				serve: socket => serveConnection({clock, log, handlers}, socket),
			}),
		),
		always(
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
		always('probes', gossip.probeLoop),
		always('lease', keepLease(cradle)),
	];
};

const configTasks = (cradle: Cradle): Child[] => {
	const {clock, random, log, config, health, store, gossip} = cradle;
	const isReader = (shard: string) => gossip.hasRole(`reader ${shard}`, shardReaders);
	const readers = store
		? Shard.names.map(shard =>
				always(shard, watchShard({store, clock, random, log, config, health, isReader}, shard)),
			)
		: [];
	return [always('announce', announceSections(cradle)), ...readers];
};

/** Tells other nodes of each section that comes into force here, and takes up its floors. */
const announceSections =
	({config, gossip, slot, clock}: Cradle): Task =>
	async (signal, ready) => {
		config.onSection(({name, version}) => {
			gossip.spread({kind: rumorKinds.section, name, version});
			gossip.rollout.report(name, version);
			// Once more, since the first report may be lost.
			const cancel = clock.after(reportAgainMs, () => {
				signal.removeEventListener('abort', cancel);
				gossip.rollout.report(name, version);
			});
			signal.addEventListener('abort', cancel);
			slot.setFloors(floorsOf(config));
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
