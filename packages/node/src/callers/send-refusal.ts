import type {FastifyReply} from 'fastify';
import type {Refusal} from '@medlarsaddle/wire';
import {headerNames} from './header-names.js';
import {statusOf} from './status-of.js';

/**
 * Sends a refusal as an HTTP status, headers and a JSON body.
 *
 * @example
 * await sendRefusal(reply, refusal, rootId);
 */
export const sendRefusal = async (
	reply: FastifyReply,
	refusal: Refusal,
	rootId: string | undefined,
): Promise<void> => {
	const {fault, run, what, remedy, retryAfterMs} = refusal;
	if (retryAfterMs !== undefined) {
		void reply.header('retry-after', Math.ceil(retryAfterMs / 1000));
	}

	await reply
		.code(statusOf(fault))
		.header(headerNames.refusal, fault)
		.header(headerNames.run, run)
		.send({kind: fault, run, retryAfterMs, what, remedy, rootId});
};
