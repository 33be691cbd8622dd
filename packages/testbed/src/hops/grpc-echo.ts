import type {MethodDefinition} from '@grpc/grpc-js';

const pass = (bytes: Buffer): Buffer => bytes;

/** A gRPC service that carries one body there and one back. */
export const grpcEcho = {
	pass: {
		path: '/hop.Echo/Pass',
		requestStream: false,
		responseStream: false,
		requestSerialize: pass,
		requestDeserialize: pass,
		responseSerialize: pass,
		responseDeserialize: pass,
	} satisfies MethodDefinition<Buffer, Buffer>,
} as const;
