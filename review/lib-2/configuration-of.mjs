/**
 * Returns a configuration of the operator with one route for each entry, at the path of its name.
 *
 * @example
 * store.put('config', 'main', configurationOf(1, [{name: 'pay', service: 'pay', isIdempotent: false, timeoutMs: 5000}]));
 */
export const configurationOf = (version, routes) => ({
	version,
	limits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 67_108_864,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
	listeners: [
		{
			host: 'shop.example',
			rules: routes.map(
				({name, service, isIdempotent, timeoutMs, targetMs, attempts = 2, priority = 1}) => ({
					name: `r-${name}`,
					routeKind: isIdempotent ? 'idempotent' : 'non_idempotent',
					targetLatencyMs: targetMs ?? Math.min(3000, timeoutMs),
					priority,
					match: {pathPrefix: `/${name}/`},
					action: {service, timeoutMs, attempts},
				}),
			),
		},
	],
	clusters: [...new Set(routes.map(({service}) => service))].map(name => ({
		name,
		healthPath: '/health',
		maxConns: 400,
	})),
});
