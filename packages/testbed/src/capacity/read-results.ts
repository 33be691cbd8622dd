import {z} from 'zod';

const result = z.object({
	scenario: z.string(),
	figures: z.record(z.string(), z.unknown()),
});

/**
 * Reads results of the bench, each the last line of a text; returns the figures by scenario.
 *
 * @example
 * const results = readResults([text]);
 */
export const readResults = (texts: readonly string[]): Map<string, Record<string, unknown>> =>
	new Map(
		texts.map(text => {
			const line = text.trim().split('\n').at(-1)!;
			const {scenario, figures} = result.parse(JSON.parse(line));
			return [scenario, figures];
		}),
	);
