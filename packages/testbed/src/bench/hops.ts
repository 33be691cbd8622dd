import {fileURLToPath} from 'node:url';
import {createSystemClock} from '@medlarsaddle/core';
import {Pool} from 'undici';
import {Child} from '../deploy/child.js';
import {hopKinds} from '../hops/hop-kinds.js';
import {measureClosedLoop} from './measure-closed-loop.js';
import {measureNodeLatency} from './measure-node-latency.js';
import type {Scenario} from './scenario.js';

type Latency = {readonly p50Ms: number; readonly p99Ms: number};

const script = fileURLToPath(new URL('../bin/hop.js', import.meta.url));
const warmUpCount = 1500;
const count = 3000;
const body = JSON.stringify({id: 'hop', pad: 'x'.repeat(100)});

/** Forwarding paths, each as its hops in order from the caller to the upstream. */
const forwardingPaths: ReadonlyArray<
	readonly [string, ReadonlyArray<(typeof hopKinds)[keyof typeof hopKinds]>]
> = [
	['direct', []],
	['tcpRelay', [hopKinds.tcpRelay]],
	['oneFastifyHop', [hopKinds.fastifyHop]],
	['twoFastifyHops', [hopKinds.fastifyHop, hopKinds.fastifyHop]],
	['plainFrontFramed', [hopKinds.plainFront, hopKinds.framedBack]],
	['fastifyFrontFramed', [hopKinds.fastifyFront, hopKinds.framedBack]],
	['fastifyFrontGrpc', [hopKinds.grpcFront, hopKinds.grpcBack]],
];

/** Latency of each forwarding path from the caller to the upstream, and of the nodes themselves. */
export const hops: Scenario = {
	name: 'hops',
	description: 'closed-loop latency of each way to forward a call, in one run',
	async run() {
		const figures: Record<string, Latency> = {};
		for (const [name, kinds] of forwardingPaths) {
			figures[name] = await measurePath(kinds);
		}

		const nodes = await measureNodeLatency(createSystemClock());
		const addedMs = nodes.twoNodes.p99Ms - nodes.direct.p99Ms;
		return {
			figures: {
				...figures,
				nodesDirect: nodes.direct,
				nodesOneHop: nodes.oneNode,
				nodesTwoHops: nodes.twoNodes,
				addedP50Ms: Number((nodes.twoNodes.p50Ms - nodes.direct.p50Ms).toFixed(3)),
				addedP99Ms: Number(addedMs.toFixed(3)),
			},
			bounds: {'added p99 <= 0.4 ms': addedMs <= 0.4},
		};
	},
};

const measurePath = async (kinds: readonly string[]): Promise<Latency> => {
	const children: Child[] = [];
	let port = 0;
	try {
		for (const kind of [hopKinds.upstream, ...kinds.toReversed()]) {
			const child = await Child.start({
				script,
				args: [kind, String(port)],
				parseReadyLine: line => line.ready,
			});
			children.push(child);
			({port} = child.ready as {port: number});
		}

		const pool = new Pool(`http://127.0.0.1:${port}`, {connections: 1, pipelining: 1});
		const send = async () => {
			const reply = await pool.request({path: '/', method: 'POST', body});
			const text = await reply.body.text();
			if (text !== body) {
				throw new Error('A hop returned a different body');
			}
		};

		const latency = await measureClosedLoop({
			clock: createSystemClock(),
			send,
			warmUpCount,
			count,
		});
		await pool.destroy();
		return latency;
	} finally {
		await Promise.all(children.map(async child => child.end()));
	}
};
