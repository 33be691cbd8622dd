import type {Answer} from '@medlarsaddle/wire';

/**
 * The reply to a call: its answer, a statement of the upstream that it did not run the call, or an
 * answer that belongs to another call.
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
			/** Whether another upstream instance now uses the address. */
			readonly isOtherInstance: boolean;
	  }
	| {readonly kind: 'foreign'};
