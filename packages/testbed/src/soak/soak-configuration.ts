const bodyBytes = 10_000;
const headerBytes = 8000;
const timeoutMs = 2000;

/** Prefix of the route that a version of the configuration adds and the next one drops. */
const prefixOf = (version: number): string => `/only-${version}/`;

const ruleOf = (name: string, prefix: string, kind: string, service: string) => ({
	name,
	routeKind: kind,
	targetLatencyMs: 300,
	priority: 0,
	match: {pathPrefix: prefix},
	action: {service, timeoutMs, attempts: 2},
});

const cluster = (name: string) => ({name, healthPath: '/health', maxConns: 50});

/**
 * The configurations of a soak: two routes that stay, and one that each version replaces by its own.
 *
 * @example
 * platform.write('config', 'main', soakConfiguration.of(7));
 */
export const soakConfiguration = {
	prefixOf,

	of: (version: number) => ({
		version,
		limits: {
			maxHeaderBytes: headerBytes,
			maxBodyBytes: bodyBytes,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		listeners: [
			{
				host: 'shop.example',
				rules: [
					ruleOf('look', '/look/', 'idempotent', 'catalogue'),
					ruleOf('pay', '/pay/', 'non_idempotent', 'payment'),
					ruleOf(`only-${version}`, prefixOf(version), 'idempotent', 'catalogue'),
				],
			},
		],
		clusters: [cluster('catalogue'), cluster('payment')],
	}),
} as const;
