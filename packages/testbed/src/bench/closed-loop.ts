import type {Clock} from '@medlarsaddle/core';
import * as hdr from 'hdr-histogram-js';

type Opts = {
	readonly clock: Clock;
	readonly send: () => Promise<void>;
	readonly warmUp: number;
	readonly count: number;
	readonly concurrency?: number;
};

const microsPerMs = 1000;

/**
 * Sends requests one after another and measures each, after some that are not counted.
 *
 * @example
 * const {p50Ms, p99Ms} = await closedLoop({clock, send, warmUp: 500, count: 2000});
 */
export const closedLoop = async ({
	clock,
	send,
	warmUp,
	count,
	concurrency = 1,
}: Opts): Promise<{p50Ms: number; p99Ms: number}> => {
	const histogram = hdr.build({numberOfSignificantValueDigits: 3});
	const loop = async (rounds: number, isCounted: boolean) => {
		for (let round = 0; round < rounds; round++) {
			const startMs = clock.monotonic();
			await send();
			if (isCounted) {
				histogram.recordValue(Math.round((clock.monotonic() - startMs) * microsPerMs));
			}
		}
	};

	const run = async (total: number, isCounted: boolean) =>
		Promise.all(
			Array.from({length: concurrency}, async () =>
				loop(Math.ceil(total / concurrency), isCounted),
			),
		);
	await run(warmUp, false);
	await run(count, true);
	const result = {
		p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
		p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
	};
	histogram.destroy();
	return result;
};
