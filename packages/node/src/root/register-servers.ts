import {Server as GrpcServer} from '@grpc/grpc-js';
import {OperatorsService} from '@medlarsaddle/api';
import {type AwilixContainer, asFunction} from 'awilix';
import {createApp} from '../callers/create-app.js';
import {serveCalls} from '../callers/serve-calls.js';
import {serveHealth} from '../callers/serve-health.js';
import {serveKeys} from '../callers/serve-keys.js';
import {serveUpstream} from '../callers/serve-upstream.js';
import {createService} from '../operators/create-service.js';
import {Queries} from '../operators/queries.js';
import {version} from '../version.js';
import type {Cradle} from './cradle.js';

/**
 * Registers the servers for callers, the upstream and operators.
 *
 * @example
 * registerServers(container);
 */
export const registerServers = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
		callerApp: singleton(cradle => {
			const {settings, log, router, ledger, lifecycle, metrics} = cradle;
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			const issueKey = () => ledger.issue();
			serveCalls(app, {
				router,
				issueKey,
				drainingFault: () => lifecycle.drainingFault(),
				waitUntilRejoined: async () => lifecycle.waitUntilRejoined(),
				isFromUpstream: false,
				track: lifecycle.track,
			});
			serveKeys(app, issueKey);
			serveHealth(app, {
				registry: metrics.registry,
				isReady: () => lifecycle.isReady,
			});
			return app;
		}),
		upstreamApp: singleton(({settings, log, router, ledger, lifecycle, upstream}) => {
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			serveCalls(app, {
				router,
				issueKey: () => ledger.issue(),
				drainingFault: () => lifecycle.drainingFault(),
				waitUntilRejoined: async () => lifecycle.waitUntilRejoined(),
				isFromUpstream: true,
				track: lifecycle.track,
			});
			serveUpstream(app, upstream);
			return app;
		}),
		queries: singleton(cradle =>
			Queries.create({
				...pickQueryDeps(cradle),
				version,
				async storeCalls() {
					const {values} = await cradle.metrics.storeCalls.get();
					return Object.fromEntries(values.map(({labels, value}) => [String(labels.kind), value]));
				},
			}),
		),
		operatorServer: singleton(({config, queries}) => {
			const server = new GrpcServer();
			server.addService(OperatorsService, createService({config, queries}));
			return server;
		}),
	});
};

const pickQueryDeps = (cradle: Cradle) => ({
	clock: cradle.clock,
	random: cradle.random,
	log: cradle.log,
	config: cradle.config,
	store: cradle.store,
	health: cradle.health,
	gossip: cradle.gossip,
	directory: cradle.directory,
	selector: cradle.selector,
	peers: cradle.peers,
	upstream: cradle.upstream,
	quarantine: cradle.quarantine,
	ledger: cradle.ledger,
	rollUp: cradle.rollUp,
	rollUpMs: cradle.settings.rollUpMs,
	explanations: cradle.explanations,
});
