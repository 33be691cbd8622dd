import type {MethodDefinition} from '@grpc/grpc-js';

const identity = (bytes: Buffer): Buffer => bytes;

/** A gRPC service whose one method takes and returns raw bytes. */
export const grpcEcho = {
	pass: {
		path: '/hop.Echo/Pass',
		requestStream: false,
		responseStream: false,
		requestSerialize: identity,
		requestDeserialize: identity,
		responseSerialize: identity,
		responseDeserialize: identity,
	} satisfies MethodDefinition<Buffer, Buffer>,
} as const;
