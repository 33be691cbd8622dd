import {promisify} from 'node:util';
import {Server as GrpcServer, ServerCredentials} from '@grpc/grpc-js';
import {OperatorsService} from '@medlarsaddle/api';
import {type AwilixContainer, asFunction} from 'awilix';
import {createService} from '../operators/create-service.js';
import {Queries} from '../operators/queries.js';
import {version} from '../version.js';
import type {Cradle} from './cradle.js';

/**
 * Registers the server for operators.
 *
 * @example
 * registerOperators(container);
 */
export const registerOperators = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
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
		listenForOperators: singleton(({settings, operatorServer}) => async () => {
			const bind = promisify(operatorServer.bindAsync.bind(operatorServer));
			const address = `${settings.host}:${settings.operatorPort}`;
			return bind(address, ServerCredentials.createInsecure());
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
