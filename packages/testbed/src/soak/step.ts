import type {linkFaults} from './link-faults.js';
import type {SoakHost} from './soak-host.js';

type Timing = {
	/** Start of the step, in milliseconds since the start of the soak. */
	readonly atMs: number;
	/** Duration in milliseconds; 0 for a step without duration. */
	readonly forMs: number;
};

type OnHost = {
	/** Index of the host in the list of hosts. */
	readonly host: number;
};

type LinkStep = {
	readonly kind: 'link';
	readonly link: keyof SoakHost['relays'];
	readonly fault: (typeof linkFaults)[keyof typeof linkFaults];
};

/**
 * One step of a soak: a fault or a planned operation.
 *
 * @example
 * const step: Step = {kind: 'pause', host: 2, atMs: 4000, forMs: 1500};
 */
export type Step = Timing &
	(
		| (OnHost & LinkStep)
		| (OnHost & {
				readonly kind:
					| 'pause'
					| 'kill'
					| 'stop'
					| 'reload'
					| 'drain'
					| 'depart-and-kill'
					| 'crash-upstream'
					| 'foreign-report-and-drain'
					| 'silence-and-drain'
					| 'spoil';
		  })
		| {readonly kind: 'store-down' | 'store-slow' | 'store-forgets' | 'store-loses-answers'}
		| {readonly kind: 'store-restored'; readonly areWatchesCut: boolean}
		| {readonly kind: 'configure'}
	);
