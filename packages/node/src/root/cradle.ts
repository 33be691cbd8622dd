import type {Socket as DatagramSocket} from 'node:dgram';
import type {Server} from 'node:net';
import type {Server as GrpcServer} from '@grpc/grpc-js';
import type {ByteBudget, KeyLedger, Quarantine} from '@medlarsaddle/control';
import type {Clock, Log, Random} from '@medlarsaddle/core';
import type {Gossip, Member} from '@medlarsaddle/members';
import type {ObjectStore, OpenStore} from '@medlarsaddle/records';
import type {Tally} from '@medlarsaddle/report';
import type {Supervisor} from '@medlarsaddle/supervise';
import type {CallOutcome} from '@medlarsaddle/wire';
import type {FastifyInstance} from 'fastify';
import type {AnswerStore} from '../calls/answer-store.js';
import type {CallSender} from '../calls/call-sender.js';
import type {EndpointSelector} from '../calls/endpoint-selector.js';
import type {EndpointDirectory} from '../calls/endpoint-directory.js';
import type {Forwarder} from '../calls/forwarder.js';
import type {KeyedCallRunner} from '../calls/keyed-call-runner.js';
import type {Router} from '../calls/router.js';
import type {Config} from '../config/config.js';
import type {StoreHealth} from '../config/store-health.js';
import type {Queries} from '../operators/queries.js';
import type {Handlers} from '../peers/handlers.js';
import type {Peers} from '../peers/peers.js';
import type {Collector} from '../report/collector.js';
import type {Explanations} from '../report/explanations.js';
import type {Metrics} from '../report/metrics.js';
import type {RollUp} from '../report/roll-up.js';
import type {Settings} from '../settings/settings.js';
import type {InFlightCalls} from '../upstream/in-flight-calls.js';
import type {LoadTracker} from '../upstream/load-tracker.js';
import type {UpstreamProxy} from '../upstream/upstream-proxy.js';
import type {UpstreamProtocol} from '../upstream/upstream-protocol.js';
import type {Lifecycle} from './lifecycle.js';
import type {Strategy} from './strategy.js';

/**
 * Every dependency that the awilix container of a node resolves, by name. Only the files of this
 * folder use it.
 *
 * @example
 * const {router} = container.cradle;
 */
export type Cradle = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly protocol: UpstreamProtocol;
	readonly canReach: (host: string, port: number) => boolean;
	readonly secret: string;
	readonly self: Member;
	readonly datagrams: DatagramSocket;
	readonly peerServer: Server;
	readonly lifecycle: Lifecycle;
	readonly config: Config;
	readonly health: StoreHealth;
	readonly openStore: OpenStore | undefined;
	readonly store: ObjectStore | undefined;
	readonly gossip: Gossip;
	readonly directory: EndpointDirectory;
	readonly peerSupervisor: Supervisor;
	readonly connectionSupervisor: Supervisor;
	readonly peers: Peers;
	readonly handlers: Handlers;
	/** What bodies of callers may hold together. */
	readonly callerBudget: ByteBudget;
	/** What bodies on the links between nodes may hold together. */
	readonly peerBudget: ByteBudget;
	readonly quarantine: Quarantine;
	readonly ledger: KeyLedger<CallOutcome>;
	readonly answers: AnswerStore;
	readonly inFlight: InFlightCalls;
	readonly upstream: UpstreamProxy;
	readonly strategy: Strategy;
	readonly loadTracker: LoadTracker;
	readonly selector: EndpointSelector;
	readonly sender: CallSender;
	readonly keyedCalls: KeyedCallRunner;
	readonly router: Router;
	readonly forwarder: Forwarder;
	readonly tally: Tally;
	readonly collector: Collector;
	readonly rollUp: RollUp;
	readonly explanations: Explanations;
	readonly metrics: Metrics;
	readonly queries: Queries;
	readonly callerApp: FastifyInstance;
	readonly upstreamApp: FastifyInstance;
	readonly operatorServer: GrpcServer;
	/** Listens for operators and returns the port. */
	readonly listenForOperators: () => Promise<number>;
};
