import type {Clock} from '@medlarsaddle/core';
import * as hdr from 'hdr-histogram-js';

type Opts = {
	readonly clock: Clock;
	readonly send: () => Promise<void>;
	readonly warmUpCount: number;
	readonly count: number;
	readonly concurrency?: number;
};

const microsPerMs = 1000;

/**
 * Measures the latency of requests in a closed loop: each sender waits for the reply before it
 * sends the next request. Requests of the warm-up are not measured.
 *
 * @example
 * const {p50Ms, p99Ms} = await measureClosedLoop({clock, send, warmUpCount: 500, count: 2000});
 */
export const measureClosedLoop = async ({
	clock,
	send,
	warmUpCount,
	count,
	concurrency = 1,
}: Opts): Promise<{p50Ms: number; p99Ms: number}> => {
	const histogram = hdr.build({numberOfSignificantValueDigits: 3});
	const loop = async (rounds: number, isMeasured: boolean) => {
		for (let round = 0; round < rounds; round++) {
			const startMs = clock.monotonic();
			await send();
			if (isMeasured) {
				histogram.recordValue(Math.round((clock.monotonic() - startMs) * microsPerMs));
			}
		}
	};

	const run = async (total: number, isMeasured: boolean) =>
		Promise.all(
			Array.from({length: concurrency}, async () =>
				loop(Math.ceil(total / concurrency), isMeasured),
			),
		);
	await run(warmUpCount, false);
	await run(count, true);
	const result = {
		p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
		p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
	};
	histogram.destroy();
	return result;
};
