import type {Clock} from '@medlarsaddle/core';
import {Pool} from 'undici';
import {hungary} from '../deploy/hungary.js';
import {Fleet} from '../deploy/fleet.js';
import {measureClosedLoop} from './measure-closed-loop.js';

type Latency = {readonly p50Ms: number; readonly p99Ms: number};

const warmUpCount = 1500;
const count = 3000;
const path = '/call/pitch-map/work';
const quickServiceMs = 0;

/**
 * Measures the latency of a call that takes the upstream no time: sent directly to the upstream,
 * through the node of its host, and through the node of another host as well, all in one run.
 *
 * @example
 * const {direct, twoNodes} = await measureNodeLatency(clock);
 */
export const measureNodeLatency = async (
	clock: Clock,
): Promise<{direct: Latency; oneNode: Latency; twoNodes: Latency}> => {
	const deployment = {
		...hungary,
		dataCentres: ['bud1'],
		services: [
			{name: 'pitch-map', endpoints: 2, slots: 60, connections: 470, serviceMs: quickServiceMs},
		],
		policy: {base: hungary.policy.base!, 'pitch-map': hungary.policy['pitch-map']!},
	};
	const fleet = await Fleet.start({deployment, scale: 1, seed: 1});
	try {
		const [first, second] = fleet.hosts;
		await fleet.setUpstreamFaults(first!, {slowFactor: 0});
		await fleet.setUpstreamFaults(second!, {slowFactor: 0});
		// With the first host drained, a call that enters there crosses both nodes.
		await fleet.runClient(first!, ['drain']);
		const direct = await measure(clock, second!.upstreamUrl, '/work');
		const oneNode = await measure(clock, nodeUrlOf(second!), path);
		const twoNodes = await measure(clock, nodeUrlOf(first!), path);
		return {direct, oneNode, twoNodes};
	} finally {
		await fleet.stop();
	}
};

const measure = async (clock: Clock, origin: string, path: string): Promise<Latency> => {
	const pool = new Pool(origin, {connections: 1, pipelining: 1});
	let sequence = 0;
	const send = async () => {
		const reply = await pool.request({
			path,
			method: 'POST',
			headers: {'medlar-job': 'KERMIN.VASAR/quick'},
			body: JSON.stringify({id: `quick-${sequence++}`}),
		});
		await reply.body.text();
		if (reply.statusCode !== 200) {
			throw new Error(`A call was answered with status ${reply.statusCode}`);
		}
	};

	const latency = await measureClosedLoop({clock, send, warmUpCount, count});
	await pool.destroy();
	return latency;
};

const nodeUrlOf = ({ports}: Fleet['hosts'][number]): string => `http://127.0.0.1:${ports.http}`;
