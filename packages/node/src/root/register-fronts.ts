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
 * registerFronts(container);
 */
export const registerFronts = (container: AwilixContainer<Cradle>): void => {
	const once = <Value>(make: (cradle: Cradle) => Value) => asFunction(make).singleton();
	container.register({
		callerApp: once(cradle => {
			const {settings, log, router, ledger, lifecycle, metrics} = cradle;
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			const issueKey = () => ledger.issue();
			serveCalls(app, {
				router,
				issueKey,
				closedBy: () => lifecycle.closedBy(),
				mayAct: async () => lifecycle.mayAct(),
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
		upstreamApp: once(({settings, log, router, ledger, lifecycle, slot}) => {
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			serveCalls(app, {
				router,
				issueKey: () => ledger.issue(),
				closedBy: () => lifecycle.closedBy(),
				mayAct: async () => lifecycle.mayAct(),
				isFromUpstream: true,
				track: lifecycle.track,
			});
			serveUpstream(app, slot);
			return app;
		}),
		queries: once(cradle =>
			Queries.create({
				...pickQueryDeps(cradle),
				version,
				async storeCalls() {
					const {values} = await cradle.metrics.storeCalls.get();
					return Object.fromEntries(values.map(({labels, value}) => [String(labels.kind), value]));
				},
			}),
		),
		operatorServer: once(({config, queries}) => {
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
	slot: cradle.slot,
	quarantine: cradle.quarantine,
	ledger: cradle.ledger,
	rollUp: cradle.rollUp,
	rollUpMs: cradle.settings.rollUpMs,
	explanations: cradle.explanations,
});
