import type {Clock} from '@medlarsaddle/core';
import type {ObjectStore} from '@medlarsaddle/records';
import type {OutcomeHistory} from '@medlarsaddle/report';
import {ReportObject} from './report-object.js';
import {shards} from './shards.js';

type Deps = {
	readonly clock: Clock;
	readonly store: ObjectStore;
	/** Data centres that this node knows of, whether or not they have reported. */
	readonly knownDataCentres: readonly string[];
};

type DataCentreReport = {
	readonly name: string;
	readonly histories: readonly OutcomeHistory[];
	/** Time since the data centre last wrote; undefined when it never did. */
	readonly ageMs: number | undefined;
};

/**
 * Reads what every data centre has rolled up; undefined when the platform does not answer.
 *
 * @example
 * const dataCentres = await readReport({clock, store, knownDataCentres: ['dc1']}, signal);
 */
export const readReport = async (
	{clock, store, knownDataCentres}: Deps,
	signal: AbortSignal,
): Promise<DataCentreReport[] | undefined> => {
	const directory = await store.get(shards.directoryName, signal);
	if (directory.isErr()) {
		return undefined;
	}

	const {dataCentres = []} = (directory.value.value ?? {}) as {dataCentres?: readonly string[]};
	const names = [...new Set([...dataCentres, ...knownDataCentres])].toSorted();
	const reads = await Promise.all(
		names.map(async name => ({
			name,
			objects: await Promise.all(
				shards.all.map(async shard => store.get(shards.objectName(name, shard), signal)),
			),
		})),
	);
	if (reads.some(({objects}) => objects.some(object => object.isErr()))) {
		return undefined;
	}

	return reads.map(({name, objects}) => {
		const parts = objects.map(object => ReportObject.of(object._unsafeUnwrap().value));
		const times = parts.flatMap(({atMs}) => (atMs === undefined ? [] : [atMs]));
		return {
			name,
			histories: parts.map(({history}) => history),
			ageMs: times.length === 0 ? undefined : Math.max(0, clock.now() - Math.max(...times)),
		};
	});
};
