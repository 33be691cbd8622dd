/** Kinds of server from which the `hops` scenario builds its forwarding paths. */
export const hopKinds = {
	upstream: 'upstream',
	tcpRelay: 'tcp-relay',
	fastifyHop: 'fastify-hop',
	plainFront: 'plain-front',
	fastifyFront: 'fastify-front',
	framedBack: 'framed-back',
	grpcFront: 'grpc-front',
	grpcBack: 'grpc-back',
} as const;
