import type {Admission} from '@medlarsaddle/control';
import type {Clock, Random} from '@medlarsaddle/core';
import type {EndpointDirectory} from '../calls/endpoint-directory.js';
import type {EndpointSelector} from '../calls/endpoint-selector.js';

type SelectorDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: EndpointDirectory;
	/** ID of this node. */
	readonly self: string;
	readonly dataCentre: string;
};

type AdmissionDeps = {
	readonly clock: Clock;
	readonly floors: readonly number[];
	/** Slots that the upstream announced. */
	readonly slots: number;
	readonly connections: number;
	readonly isEnabled: boolean;
};

/**
 * The decisions that differ between uses of a node, as functions and constants.
 *
 * @example
 * const node = await Node.start({settings, clock, log, strategy: routeStrategy});
 */
export type Strategy = {
	readonly createSelector: (deps: SelectorDeps) => EndpointSelector;
	readonly createAdmission: (deps: AdmissionDeps) => Admission;
	/** Faults of refusals after which another endpoint may be tried without spending a retry. */
	readonly freeRetryFaults: ReadonlySet<string>;
	/** Whether the calls below a request share its retries, so that each attempt takes some along. */
	readonly sharesRetries: boolean;
	/** Whether a process that learns of a later one with its ID keeps the ID instead of draining. */
	readonly keepsNodeId: boolean;
};
