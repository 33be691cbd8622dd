import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import {z} from 'zod';
import {Upstream} from '../upstream/upstream.js';
import {upstreamFaults} from '../upstream/upstream-faults.js';

const restartMs = 700;
const options = z
	.object({
		service: z.string(),
		slots: z.number(),
		connections: z.number(),
		serviceMs: z.number(),
		nodePort: z.number(),
		seed: z.number(),
		coldRequests: z.number().optional(),
	})
	.parse(JSON.parse(process.argv[2]!));

let crashes = 0;
const crash = () => {
	crashes++;
	upstream.crash();
	setTimeout(() => {
		void upstream.restart();
	}, restartMs);
};

const upstream = await Upstream.start({...options, crash});
const control = fastify();
control.post('/faults', async ({body}) => {
	await upstream.setFaults(upstreamFaults.parse(body));
	return {};
});
control.post('/crash', async () => {
	crash();
	return {};
});
control.get('/stats', async () => ({
	runs: [...upstream.runs.values()].reduce((sum, count) => sum + count, 0),
	wasted: upstream.wasted,
	crashes,
}));
control.post('/runs', async ({body}) => {
	const ids = z.array(z.string()).parse(body);
	return Object.fromEntries(ids.map(id => [id, upstream.runs.get(id) ?? 0]));
});
await control.listen({host: '127.0.0.1', port: 0});
const {port} = control.server.address() as AddressInfo;
console.log(JSON.stringify({ready: {control: `http://127.0.0.1:${port}`, direct: upstream.url}}));
process.on('SIGTERM', () => {
	void upstream.stop().then(() => {
		process.exit(0);
	});
});
