import type {Answer} from '@medlarsaddle/wire';

/**
 * What came back on the connection of a call: its answer, the upstream's word that it did not run
 * the call, or an answer that belongs to another call.
 *
 * @example
 * if (reply.kind === 'foreign') {
 * 	connection.destroy();
 * }
 */
export type UpstreamReply =
	| {readonly kind: 'answer'; readonly answer: Answer}
	| {
			readonly kind: 'not-run';
			/** Set when another upstream instance has the address now. */
			readonly isOtherInstance: boolean;
	  }
	| {readonly kind: 'foreign'};
