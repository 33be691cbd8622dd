import type {Clock} from '@medlarsaddle/core';
import type {ObjectStore} from './object-store.js';

type Opts = {
	readonly url: string;
	readonly clock: Clock;
	/** Called once per store call with its kind, to measure the load on the platform. */
	readonly onCall: (kind: string) => void;
	/** Whether an address is reachable; tests and the bench simulate network partitions with it. */
	readonly canReach: (host: string, port: number) => boolean;
};

/**
 * Opens the platform's object store at a URL.
 *
 * @example
 * const store = openStore({url: 'http://127.0.0.1:9000', clock, onCall() {}, canReach: () => true});
 */
export type OpenStore = (opts: Opts) => ObjectStore;
