import type {AddressInfo} from 'node:net';
import type {Cradle} from './cradle.js';

type Ports = {
	readonly http: number;
	/** Port for the upstream; 0 when it is served by an attached part. */
	readonly upstream: number;
	/** Port for operators; 0 when they are not served. */
	readonly operator: number;
};

/** Connections of those that read the metrics or the health. */
const maxScrapers = 64;

/**
 * Listens for callers, health checks and metrics, and with `isWhole` also for the upstream and for
 * operators.
 *
 * @example
 * const {http} = await listen(cradle, false);
 */
export const listen = async (cradle: Cradle, isWhole: boolean): Promise<Ports> => {
	const {settings, callerApp} = cradle;
	const {host} = settings;
	await callerApp.listen({host, port: settings.httpPort});
	const {port: http} = callerApp.server.address() as AddressInfo;
	if (!isWhole) {
		callerApp.server.maxConnections = maxScrapers;
		return {http, upstream: 0, operator: 0};
	}

	const {upstreamApp, listenForOperators} = cradle;
	await upstreamApp.listen({host, port: settings.upstreamPort});
	const {port: upstream} = upstreamApp.server.address() as AddressInfo;
	return {http, upstream, operator: await listenForOperators()};
};
