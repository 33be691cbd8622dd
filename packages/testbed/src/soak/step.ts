import type {linkFaults} from './link-faults.js';
import type {SoakHost} from './soak-host.js';

type When = {
	/** When it begins, in milliseconds since the soak began. */
	readonly atMs: number;
	/** How long it lasts, in milliseconds; 0 for what happens at once. */
	readonly forMs: number;
};

type OnHost = {
	/** Place of the host in the list of hosts. */
	readonly host: number;
};

type LinkStep = {
	readonly kind: 'link';
	readonly link: keyof SoakHost['relays'];
	readonly fault: (typeof linkFaults)[keyof typeof linkFaults];
};

/**
 * One disturbance or planned work of a soak.
 *
 * @example
 * const step: Step = {kind: 'pause', host: 2, atMs: 4000, forMs: 1500};
 */
export type Step = When &
	(
		| (OnHost & LinkStep)
		| (OnHost & {
				readonly kind: 'pause' | 'kill' | 'stop' | 'reload' | 'drain' | 'crash-upstream';
		  })
		| {readonly kind: 'store-down' | 'store-slow' | 'store-forgets' | 'store-loses-answers'}
		| {readonly kind: 'configure'}
	);
