import {hash32} from '@medlarsaddle/core';

const shardCount = 16;

/**
 * How the counts of a data centre are divided among store objects, by service, so that none grows
 * beyond what the platform holds.
 */
export const shards = {
	all: Array.from({length: shardCount}, (_shard, index) => index),
	of: (service: string): number => hash32(service) % shardCount,
	objectOf: (dataCentre: string, shard: number): string => `report-${dataCentre}-${shard}`,
	/** Name of the object that lists the data centres which have ever reported. */
	directory: 'report-directory',
} as const;
