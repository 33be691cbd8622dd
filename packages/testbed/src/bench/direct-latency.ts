import type {Clock} from '@medlarsaddle/core';
import {Pool} from 'undici';
import {hungary} from '../deploy/hungary.js';
import {Fleet} from '../deploy/fleet.js';
import {closedLoop} from './closed-loop.js';

type Latency = {readonly p50Ms: number; readonly p99Ms: number};

const warmUp = 2000;
const count = 4000;
const quickMs = 0;

/**
 * Latency of one quick call straight to an upstream and through the caller's node and the
 * upstream's node, in the same run.
 *
 * @example
 * const {added} = await directLatency(clock);
 */
export const directLatency = async (
	clock: Clock,
): Promise<{direct: Latency; throughNodes: Latency; added: Latency}> => {
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
		const throughNodes = await measure(
			clock,
			`http://127.0.0.1:${first!.ports.http}`,
			'/call/pitch-map/work',
		);
		const added = {
			p50Ms: round(throughNodes.p50Ms - direct.p50Ms),
			p99Ms: round(throughNodes.p99Ms - direct.p99Ms),
		};
		return {direct, throughNodes, added};
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

const round = (value: number): number => Number(value.toFixed(3));
