import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {EndpointView, chooseNear, subsetEndpoints} from '../src/index.js';

type Simulated = {
	readonly node: string;
	/** Time of a call, in milliseconds. */
	readonly holdMs: number;
	/** When each of its slots is free again. */
	readonly freeMs: number[];
};

const job = 'look';
const goalMs = 400;
const slots = 4;
const entries = 60;
const endpointCount = 30;
const callsPerMs = 0.62;
const durationMs = 20_000;

/**
 * Plays many entries that each call the same many endpoints, whose speeds differ by a factor of
 * three, at 0.62 of what they can take, and returns the share of calls that meet their goal.
 */
const play = async (
	choose: (view: EndpointView, endpoints: readonly string[], entry: number) => string,
): Promise<number> => {
	const clock = ManualClock.at(0);
	const random = createRandom(7);
	const endpoints: Simulated[] = Array.from({length: endpointCount}, (_, index) => ({
		node: `e${index}`,
		holdMs: [80, 120, 240][index % 3]!,
		freeMs: Array.from({length: slots}, () => 0),
	}));
	const byNode = new Map(endpoints.map(endpoint => [endpoint.node, endpoint]));
	const nodes = [...byNode.keys()];
	const views = Array.from({length: entries}, () => EndpointView.create(clock));
	let inTime = 0;
	let calls = 0;
	while (clock.monotonic() < durationMs) {
		await clock.advance(-Math.log(1 - random.next()) / callsPerMs);
		const nowMs = clock.monotonic();
		const entry = random.below(entries);
		const view = views[entry]!;
		const node = choose(view, nodes, entry);
		const {freeMs, holdMs} = byNode.get(node)!;
		const slot = freeMs.indexOf(Math.min(...freeMs));
		const startMs = Math.max(nowMs, freeMs[slot]!);
		const endMs = startMs + holdMs;
		freeMs[slot] = endMs;
		calls++;
		inTime += endMs - nowMs <= goalMs ? 1 : 0;
		view.noteSent(node);
		clock.after(endMs - nowMs, () => {
			const laterMs = clock.monotonic();
			const backlogMs = freeMs.reduce((sum, ms) => sum + Math.max(0, ms - laterMs), 0);
			view.noteEnded(node);
			view.noteReport(node, {
				load: backlogMs / holdMs / slots,
				waitMs: Math.max(0, Math.min(...freeMs) - laterMs),
				limit: slots,
				job,
				heldMs: holdMs,
			});
			view.noteSuccess(node);
		});
	}

	return inTime / calls;
};

// With hundreds of hosts each entry sees each endpoint every few seconds. When an endpoint without a
// fresh report counts as idle, it is chosen before those that are known to be, and placement is as
// good as random.
test('many entries that each see little place calls better than at random', async () => {
	const random = createRandom(3);
	const placed = await play(
		(view, nodes, entry) =>
			chooseNear({
				endpoints: subsetEndpoints({
					endpoints: nodes.map(node => ({node, service: 's', dataCentre: 'dc1', weight: slots})),
					self: `entry-${entry}`,
					dataCentre: 'dc1',
				}),
				tried: new Set(),
				view,
				random,
				job,
				goalMs,
				dataCentre: 'dc1',
				isUnreachable: () => false,
			})!.node,
	);
	const atRandom = await play((_view, nodes) => nodes[random.below(nodes.length)]!);
	assert.ok(placed > 0.98, String(placed));
	assert.ok(placed > atRandom, `${placed} and ${atRandom}`);
});
