import type {OperatorsServer} from '@medlarsaddle/api';
import {Fault, faultKinds} from '@medlarsaddle/core';
import type {Section} from '@medlarsaddle/policy';
import type {Result} from 'neverthrow';
import type {Config} from '../config/config.js';
import {serviceError} from './service-error.js';
import type {Queries} from './queries.js';

type Deps = {
	readonly config: Config;
	readonly queries: Queries;
};

type Callback<Reply> = (error: ReturnType<typeof serviceError> | null, reply?: Reply) => void;

/**
 * Creates the gRPC service for operators. It maps messages to queries and faults to errors; every
 * decision is made in the queries.
 *
 * @example
 * server.addService(OperatorsService, createService({config, queries}));
 */
export const createService = ({config, queries}: Deps): OperatorsServer => {
	const respond = async <Reply>(
		reply: Promise<Result<Reply, Fault>> | Result<Reply, Fault>,
		callback: Callback<Reply>,
	): Promise<void> => {
		try {
			const result = await reply;
			if (result.isOk()) {
				callback(null, result.value);
			} else {
				callback(serviceError(result.error));
			}
		} catch (error) {
			callback(serviceError(internalFault(error)));
		}
	};

	return {
		getPolicy({request}, callback) {
			void respond(queries.policy(request), callback);
		},
		putPolicy({request}, callback) {
			void respond(queries.put(request), callback);
		},
		getInForce({request}, callback) {
			void respond(queries.inForce(request), callback);
		},
		getHistory({request}, callback) {
			void respond(queries.history(request), callback);
		},
		getUpstreams({request}, callback) {
			void respond(queries.upstreams(request), callback);
		},
		getStatus(_call, callback) {
			void respond(queries.status(), callback);
		},
		setDraining({request}, callback) {
			void respond(queries.setDraining(request), callback);
		},
		explain({request}, callback) {
			void respond(queries.explain(request), callback);
		},
		getReport(_call, callback) {
			void respond(queries.report(), callback);
		},
		watchPolicy(call) {
			const abort = new AbortController();
			const send = (section: Section) => {
				call.write(section);
			};

			call.on('cancelled', () => {
				abort.abort();
			});
			for (const section of config.policy.sections.values()) {
				send(section);
			}

			config.onSection(send, abort.signal);
		},
	};
};

const internalFault = (error: unknown): Fault =>
	Fault.of(faultKinds.internal, `The node failed on this call (${String(error)})`, 'Report it');
