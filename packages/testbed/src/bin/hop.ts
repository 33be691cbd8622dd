import {hopKinds} from '../hops/hop-kinds.js';
import type {StartHop} from '../hops/start-hop.js';
import {startFastifyFront} from '../hops/start-fastify-front.js';
import {startFastifyHop} from '../hops/start-fastify-hop.js';
import {startFramedBack} from '../hops/start-framed-back.js';
import {startGrpcBack} from '../hops/start-grpc-back.js';
import {startGrpcFront} from '../hops/start-grpc-front.js';
import {startPlainFront} from '../hops/start-plain-front.js';
import {startTcpRelay} from '../hops/start-tcp-relay.js';
import {startUpstream} from '../hops/start-upstream.js';

const startByKind: Record<string, StartHop> = {
	[hopKinds.upstream]: startUpstream,
	[hopKinds.tcpRelay]: startTcpRelay,
	[hopKinds.fastifyHop]: startFastifyHop,
	[hopKinds.plainFront]: startPlainFront,
	[hopKinds.fastifyFront]: startFastifyFront,
	[hopKinds.framedBack]: startFramedBack,
	[hopKinds.grpcFront]: startGrpcFront,
	[hopKinds.grpcBack]: startGrpcBack,
};
const [kind, target] = process.argv.slice(2);
const port = await startByKind[kind!]!(Number(target ?? 0));
console.log(JSON.stringify({ready: {port}}));
