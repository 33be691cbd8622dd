type Opts = {
	readonly services: readonly string[];
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time of each route, in milliseconds. */
	readonly timeoutMs: number;
	/** Attempts of each route. */
	readonly attempts: number;
};

/**
 * The operator's configuration with one route for each service, of its name, for requests that may be
 * repeated.
 *
 * @example
 * platform.write('config', 'main', configurationOf({services: ['pay'], ...limits}));
 */
export const configurationOf = ({
	services,
	maxHeaderBytes,
	maxBodyBytes,
	timeoutMs,
	attempts,
}: Opts) => ({
	version: 1,
	limits: {maxHeaderBytes, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
	listeners: [
		{
			host: 'shop.example',
			rules: services.map(name => ({
				name,
				routeKind: 'idempotent',
				targetLatencyMs: 500,
				priority: 0,
				match: {pathPrefix: `/${name}/`},
				action: {service: name, timeoutMs, attempts},
			})),
		},
	],
	clusters: services.map(name => ({name, healthPath: '/health', maxConns: 50})),
});
