const maxBodyBytes = 10_000;
const maxHeaderBytes = 8000;
const timeoutMs = 2000;

/** Prefix of the route that a configuration version adds and the next version removes. */
const prefixOf = (version: number): string => `/only-${version}/`;

const createRule = (name: string, prefix: string, kind: string, service: string) => ({
	name,
	routeKind: kind,
	targetLatencyMs: 300,
	priority: 0,
	match: {pathPrefix: prefix},
	action: {service, timeoutMs, attempts: 2},
});

const createCluster = (name: string) => ({name, healthPath: '/health', maxConns: 50});

/**
 * The configuration versions of a soak. Each has two permanent routes of callers, two of inner calls and one
 * route that exists in this version only.
 *
 * @example
 * platform.write('config', 'main', soakConfiguration.of(7));
 */
export const soakConfiguration = {
	prefixOf,

	of: (version: number) => ({
		version,
		limits: {
			maxHeaderBytes,
			maxBodyBytes,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		listeners: [
			{
				host: 'shop.example',
				rules: [
					createRule('look', '/look/', 'idempotent', 'catalogue'),
					createRule('pay', '/pay/', 'non_idempotent', 'payment'),
					createRule('check', '/check/', 'idempotent', 'payment'),
					createRule('stock', '/stock/', 'idempotent', 'catalogue'),
					createRule(`only-${version}`, prefixOf(version), 'idempotent', 'catalogue'),
				],
			},
		],
		clusters: [createCluster('catalogue'), createCluster('payment')],
	}),
} as const;
