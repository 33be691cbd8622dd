import type {Clock} from '@medlarsaddle/core';
import {Pool} from 'undici';
import {hungary} from '../deploy/hungary.js';
import {Fleet} from '../deploy/fleet.js';
import {closedLoop} from './closed-loop.js';

type Latency = {readonly p50Ms: number; readonly p99Ms: number};

const warmUp = 1500;
const count = 3000;
const path = '/call/pitch-map/work';
const quickMs = 0;

/**
 * Latency of a quick call straight to an upstream, through the node beside it alone, and through the
 * node of another host before it, in one run.
 *
 * @example
 * const {direct, twoNodes} = await nodeLatency(clock);
 */
export const nodeLatency = async (
	clock: Clock,
): Promise<{direct: Latency; oneNode: Latency; twoNodes: Latency}> => {
	const deployment = {
		...hungary,
		dataCentres: ['bud1'],
		services: [{name: 'pitch-map', endpoints: 2, slots: 60, connections: 470, serviceMs: quickMs}],
		policy: {base: hungary.policy.base!, 'pitch-map': hungary.policy['pitch-map']!},
	};
	const fleet = await Fleet.start({deployment, scale: 1, seed: 1});
	try {
		const [first, second] = fleet.hosts;
		await fleet.fault(first!, {slowFactor: 0});
		await fleet.fault(second!, {slowFactor: 0});
		// Only the second host serves, so that each call crosses both nodes.
		await fleet.operate(first!, ['drain']);
		const direct = await measure(clock, second!.direct, '/work');
		const oneNode = await measure(clock, urlOf(second!), path);
		const twoNodes = await measure(clock, urlOf(first!), path);
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
			throw new Error(`A quick call was answered with status ${reply.statusCode}`);
		}
	};

	const latency = await closedLoop({clock, send, warmUp, count});
	await pool.destroy();
	return latency;
};

const urlOf = ({ports}: Fleet['hosts'][number]): string => `http://127.0.0.1:${ports.http}`;
