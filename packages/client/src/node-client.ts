import {type ServiceError, credentials, status} from '@grpc/grpc-js';
import {OperatorsClient, type OperatorsService, type Section} from '@medlarsaddle/api';
import {type Clock, Fault, type FaultKind, createSystemClock, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';

type Service = typeof OperatorsService;
type Method = Exclude<keyof Service, 'watchPolicy'>;
type Request<Name extends Method> = ReturnType<Service[Name]['requestDeserialize']>;
type Reply<Name extends Method> = ReturnType<Service[Name]['responseDeserialize']>;

type Send<Name extends Method> = (
	request: Request<Name>,
	options: {readonly deadline: number},
	callback: (error: ServiceError | undefined, reply: Reply<Name>) => void,
) => unknown;

const deadlineMs = 15_000;

/**
 * Client of the operator port of one node.
 *
 * @example
 * const client = NodeClient.connect('127.0.0.1:8082');
 * const status = await client.call('getStatus', {});
 */
export class NodeClient {
	/** Creates a client; the connection opens with the first call. */
	static connect(address: string, clock: Clock = createSystemClock()): NodeClient {
		const client = new OperatorsClient(address, credentials.createInsecure());
		return new NodeClient(address, client, clock);
	}

	private constructor(
		private readonly address: string,
		private readonly client: OperatorsClient,
		private readonly clock: Clock,
	) {}

	/** Makes one unary call. */
	async call<Name extends Method>(
		method: Name,
		request: Request<Name>,
	): Promise<Result<Reply<Name>, Fault>> {
		const send = this.client[method].bind(this.client) as unknown as Send<Name>;
		return new Promise(resolve => {
			const options = {deadline: this.clock.now() + deadlineMs};
			send(request, options, (error, reply) => {
				resolve(error ? err(this.faultOf(error)) : ok(reply));
			});
		});
	}

	/** Calls back with each section in force, now and later, until the node ends the stream. */
	async watch(onSection: (section: Section) => void): Promise<Fault> {
		return new Promise(resolve => {
			const stream = this.client.watchPolicy({});
			stream.on('data', onSection);
			stream.on('error', (error: ServiceError) => {
				resolve(this.faultOf(error));
			});
			stream.on('end', () => {
				resolve(watchEnded);
			});
		});
	}

	/** Closes the connection. */
	close(): void {
		this.client.close();
	}

	private faultOf(error: ServiceError): Fault {
		const kind = error.metadata?.get('medlar-fault')[0] as FaultKind | undefined;
		if (kind !== undefined) {
			return Fault.fromMessage(kind, error.details);
		}

		return error.code === status.UNAVAILABLE || error.code === status.DEADLINE_EXCEEDED
			? Fault.of(
					faultKinds.unreachable,
					`Node ${this.address} does not answer`,
					'Check --node, or name another node',
				)
			: Fault.of(faultKinds.internal, error.details, 'Report this as a bug');
	}
}

const watchEnded = Fault.of(
	faultKinds.unreachable,
	'The node ended the watch',
	'Start the watch again',
);
