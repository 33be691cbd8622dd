import type {Endpoint} from '@medlarsaddle/control';
import type {CallOutcome} from '@medlarsaddle/wire';

/**
 * What happened to an attempt of a call: it has ended, or it stalls, since nothing shows whether its
 * endpoint has received it. A stalled attempt still ends later.
 *
 * @example
 * const event: AttemptEvent = {kind: 'stalled', endpoint, unspent: 1};
 */
export type AttemptEvent =
	| {readonly kind: 'ended'; readonly endpoint: Endpoint; readonly outcome: CallOutcome}
	| {
			readonly kind: 'stalled';
			readonly endpoint: Endpoint;
			/** Retries that the attempt held and returns. */
			readonly unspent: number;
	  };
