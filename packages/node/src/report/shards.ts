import {hash32} from '@medlarsaddle/core';

const shardCount = 16;

/**
 * Divides the counts of a data centre among store objects by service, so that none grows beyond the
 * size that the platform stores.
 */
export const shards = {
	all: Array.from({length: shardCount}, (_shard, index) => index),
	of: (service: string): number => hash32(service) % shardCount,
	objectName: (dataCentre: string, shard: number): string => `report-${dataCentre}-${shard}`,
	/** Name of the object that lists every data centre that has ever reported. */
	directoryName: 'report-directory',
} as const;
