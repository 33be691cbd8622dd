import type {Admission} from '@medlarsaddle/control';
import type {Clock, Random} from '@medlarsaddle/core';
import type {EndpointDirectory} from '../calls/endpoint-directory.js';
import type {EndpointSelector} from '../calls/endpoint-selector.js';

type SelectorDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: EndpointDirectory;
	readonly dataCentre: string;
};

type AdmissionDeps = {
	readonly clock: Clock;
	readonly floors: readonly number[];
	/** Slots that the upstream announced. */
	readonly slots: number;
	readonly connections: number;
	readonly enabled: boolean;
};

/**
 * The decisions that differ between the ways in which a node is used, as functions.
 *
 * @example
 * const node = await Node.start({settings, clock, log, strategy: routeStrategy});
 */
export type Strategy = {
	readonly createSelector: (deps: SelectorDeps) => EndpointSelector;
	readonly createAdmission: (deps: AdmissionDeps) => Admission;
	/** Refusals after which another endpoint may be asked without spending a retry. */
	readonly freeFaults: ReadonlySet<string>;
	/** Whether a process that hears of a later one under its ID keeps the ID rather than leaves. */
	readonly keepsId: boolean;
	/** How long news of a section waits for this node's own reader, in milliseconds. */
	readonly fetchAfterMs: number;
};
