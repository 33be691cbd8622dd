import {z} from 'zod';

const port = z.coerce.number().int().min(0).max(65_535);
const name = z
	.string()
	.min(1)
	.max(100)
	.regex(/^[\w.:-]+$/, 'use letters, digits, dots, colons and dashes');
const seedList = z
	.string()
	.default('')
	.transform(text => text.split(',').filter(part => part !== ''))
	.pipe(z.array(z.string().regex(/^[\d.]+:\d+$/, 'write each seed as IP:PORT')));

/**
 * Every setting of the node, declared once. Flags, environment variables, the printed settings and
 * docs/SETTINGS.md are all derived from it.
 */
export const settingsSchema = z.object({
	nodeId: name.describe('Name of this node, unique in its data centre'),
	dataCentre: name.describe('Name of the data centre that the host stands in'),
	group: name
		.optional()
		.describe('Hosts that keep a full member table of one another; the data centre by default'),
	host: z.ipv4().default('127.0.0.1').describe('IP number that this node listens on and announces'),
	streamHost: z
		.ipv4()
		.optional()
		.describe(
			"IP number that streams of other nodes are accepted on, where a relay takes them on the host's own; that one by default",
		),
	httpPort: port.default(8080).describe('Port for callers, health and metrics; 0 takes a free one'),
	upstreamPort: port
		.default(8083)
		.describe(
			'Port for the upstream on this host: its announcement and its own calls; 0 takes a free one',
		),
	peerPort: port.default(8081).describe('Port for other nodes, TCP and UDP; 0 takes a free one'),
	operatorPort: port.default(8082).describe("Port for operators' calls; 0 takes a free one"),
	seeds: seedList.describe(
		'Peer addresses of some nodes, of this and other data centres, as IP:PORT,IP:PORT',
	),
	storeUrl: z.url().optional().describe("Address of the platform's object API"),
	logLevel: z
		.enum(['debug', 'info', 'warn', 'error', 'silent'])
		.default('info')
		.describe('Least level that is logged'),
	maxBodyBytes: z.coerce
		.number()
		.int()
		.min(1)
		.max(2_097_152)
		.default(1_048_576)
		.describe('Largest body of a request or an answer, in bytes'),
	memoryMb: z.coerce
		.number()
		.min(100)
		.default(512)
		.describe(
			'Memory that the process may use, in MB; bodies wait or are refused before it is full',
		),
	maxDescriptors: z.coerce
		.number()
		.int()
		.min(300)
		.default(4096)
		.describe(
			'Descriptors that the process may have open; idle connections of callers are closed before they are used up',
		),
	stopSeconds: z.coerce
		.number()
		.min(0)
		.max(300)
		.default(30)
		.describe('How long a planned stop waits for work in flight, in seconds'),
	noticeMs: z.coerce
		.number()
		.int()
		.min(0)
		.max(60_000)
		.default(0)
		.describe(
			'How long a planned stop still takes new work after the node said that it is not ready, in milliseconds',
		),
	rollUpMs: z.coerce
		.number()
		.int()
		.min(100)
		.max(300_000)
		.default(15_000)
		.describe('Time between roll-ups of the counts for the report, in milliseconds'),
	service: z
		.string()
		.optional()
		.describe('Service of the upstream on this host, told to upstreams as the origin of requests'),
	retryRatio: z.coerce
		.number()
		.min(0)
		.max(1)
		.default(0.1)
		.describe('Retries that a node sends, as a share of first tries, for each service'),
	retryBurst: z.coerce
		.number()
		.min(0)
		.default(20)
		.describe('Retries beyond that share that the nodes of a group send at once, in all'),
	admission: z
		.enum(['on', 'off'])
		.default('on')
		.describe('Turns every limit off, for comparison only'),
	randomSeed: z.coerce
		.number()
		.int()
		.optional()
		.describe('Seed of the random numbers, to repeat a run'),
});
