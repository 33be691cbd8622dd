import type {ObjectStore} from './object-store.js';

type Opts = {
	readonly url: string;
	/** Called once for each call, with its kind, to keep account of the platform's load. */
	readonly onCall: (kind: string) => void;
	/** Whether an address can be reached at all; tests and the bench cut the network with it. */
	readonly reaches: (host: string, port: number) => boolean;
};

/**
 * Opens the platform's object store at a URL.
 *
 * @example
 * const store = openStore({url: 'http://127.0.0.1:9000', onCall() {}, reaches: () => true});
 */
export type OpenStore = (opts: Opts) => ObjectStore;
