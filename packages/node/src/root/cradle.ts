import type {Socket as DatagramSocket} from 'node:dgram';
import type {Server} from 'node:net';
import type {Server as GrpcServer} from '@grpc/grpc-js';
import type {KeyLedger, Quarantine} from '@medlarsaddle/control';
import type {Clock, Log, Random} from '@medlarsaddle/core';
import type {Gossip, Member} from '@medlarsaddle/members';
import type {HttpStore} from '@medlarsaddle/records';
import type {Tally} from '@medlarsaddle/report';
import type {Supervisor} from '@medlarsaddle/supervise';
import type {CallOutcome} from '@medlarsaddle/wire';
import type {FastifyInstance} from 'fastify';
import type {AnswerStore} from '../calls/answer-store.js';
import type {Carrier} from '../calls/carrier.js';
import type {Directory} from '../calls/directory.js';
import type {Forwarder} from '../calls/forwarder.js';
import type {Owner} from '../calls/owner.js';
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
import type {InFlight} from '../upstream/in-flight.js';
import type {Slot} from '../upstream/slot.js';
import type {UpstreamProtocol} from '../upstream/upstream-protocol.js';
import type {Lifecycle} from './lifecycle.js';

/**
 * Everything that the root composes, by name. Only the files beside this one know it.
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
	readonly reaches: (host: string, port: number) => boolean;
	readonly secret: string;
	readonly self: Member;
	readonly datagrams: DatagramSocket;
	readonly peerServer: Server;
	readonly lifecycle: Lifecycle;
	readonly config: Config;
	readonly health: StoreHealth;
	readonly store: HttpStore | undefined;
	readonly gossip: Gossip;
	readonly directory: Directory;
	readonly peerSupervisor: Supervisor;
	readonly connectionSupervisor: Supervisor;
	readonly peers: Peers;
	readonly handlers: Handlers;
	readonly quarantine: Quarantine;
	readonly ledger: KeyLedger<CallOutcome>;
	readonly answers: AnswerStore;
	readonly inFlight: InFlight;
	readonly slot: Slot;
	readonly carrier: Carrier;
	readonly owner: Owner;
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
};
