import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import {createLog, createSystemClock} from '@medlarsaddle/core';
import {Node, readSettings} from '@medlarsaddle/node';
import {openStore} from '@medlarsaddle/platform';
import {z} from 'zod';

const startBody = z.object({settings: z.record(z.string(), z.string())});
const cutBody = z.object({ports: z.array(z.number())});
const idBody = z.object({id: z.string()});

const clock = createSystemClock();
const nodes = new Map<string, Node>();
const eventCounts = new Map<string, number>();
const unreachable = new Set<number>();

/** Starts one node inside this process and counts its log events by code. */
const start = async (flags: Record<string, string>): Promise<Node> => {
	const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
	const settings = readSettings(args, {})._unsafeUnwrap();
	const log = createLog({clock, level: 'info', write() {}, base: {}});
	const node = await Node.start({
		settings,
		clock,
		openStore,
		log(event, fields) {
			eventCounts.set(event.code, (eventCounts.get(event.code) ?? 0) + 1);
			log(event, fields);
		},
		canReach: (_host, port) => !unreachable.has(port),
	});
	nodes.set(settings.nodeId, node);
	return node;
};

const control = fastify({bodyLimit: 1_000_000});
control.post('/start', async ({body}) => {
	const node = await start(startBody.parse(body).settings);
	return node.ports;
});
control.post('/stop', async ({body}) => {
	const {id} = idBody.parse(body);
	await nodes.get(id)?.stop();
	nodes.delete(id);
	return {};
});
control.post('/kill', async ({body}) => {
	const {id} = idBody.parse(body);
	await nodes.get(id)?.kill();
	nodes.delete(id);
	return {};
});
control.post('/cut', async ({body}) => {
	unreachable.clear();
	for (const port of cutBody.parse(body).ports) {
		unreachable.add(port);
	}

	return {};
});
control.get<{Querystring: {section?: string}}>('/state', async ({query}) => ({
	nodes: [...nodes].map(([id, node]) => ({
		id,
		dataCentre: node.dataCentre,
		members: node.aliveMemberCount,
		version: query.section === undefined ? 0 : node.versionOf(query.section),
		traffic: node.controlTraffic,
	})),
	events: Object.fromEntries(eventCounts),
}));
await control.listen({host: '127.0.0.1', port: 0});
const {port} = control.server.address() as AddressInfo;
console.log(JSON.stringify({ready: {control: `http://127.0.0.1:${port}`}}));
