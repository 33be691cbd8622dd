const maxBodyBytes = 10_000;
const maxHeaderBytes = 8000;
const defaultTimeoutMs = 2000;
const deskTimeoutMs = 5000;

/** Prefix of the route that a configuration version adds and the next version removes. */
const prefixOf = (version: number): string => `/only-${version}/`;

type Rule = {
	readonly name: string;
	readonly prefix: string;
	readonly kind: 'idempotent' | 'non_idempotent';
	readonly service: string;
	readonly timeoutMs?: number;
};

const createRule = ({name, prefix, kind, service, timeoutMs = defaultTimeoutMs}: Rule) => ({
	name,
	routeKind: kind,
	targetLatencyMs: 300,
	priority: 0,
	match: {pathPrefix: prefix},
	action: {service, timeoutMs, attempts: 2},
});

const createCluster = (name: string) => ({name, healthPath: '/health', maxConns: 50});

/**
 * The configuration versions of a soak. Each has three permanent routes of callers, two of inner calls and one
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
					createRule({name: 'look', prefix: '/look/', kind: 'idempotent', service: 'catalogue'}),
					createRule({name: 'pay', prefix: '/pay/', kind: 'non_idempotent', service: 'payment'}),
					createRule({
						name: 'desk',
						prefix: '/desk/',
						kind: 'non_idempotent',
						service: 'payment',
						timeoutMs: deskTimeoutMs,
					}),
					createRule({name: 'check', prefix: '/check/', kind: 'idempotent', service: 'payment'}),
					createRule({name: 'stock', prefix: '/stock/', kind: 'idempotent', service: 'catalogue'}),
					createRule({
						name: `only-${version}`,
						prefix: prefixOf(version),
						kind: 'idempotent',
						service: 'catalogue',
					}),
				],
			},
		],
		clusters: [createCluster('catalogue'), createCluster('payment')],
	}),
} as const;
