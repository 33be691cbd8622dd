import {hash32} from './hash32.js';

type Weighed = {
	readonly id: string;
	readonly weight: number;
};

/**
 * Returns the `count` of `ids` with the highest random weight for `key`, the highest first. Callers
 * that see the same ids get the same answer; one id more or less changes as few answers as possible.
 *
 * @example
 * const holders = rendezvous(key, memberIds, 2);
 */
export const rendezvous = (key: string, ids: readonly string[], count: number): string[] => {
	const keyHash = hash32(key);
	const best: Weighed[] = [];
	for (const id of ids) {
		const candidate = {id, weight: mix(hash32(id) ^ keyHash)};
		const last = best.at(-1);
		if (best.length < count || (last && isBefore(candidate, last))) {
			insert(best, candidate);
			best.length = Math.min(best.length, count);
		}
	}

	return best.map(({id}) => id);
};

const isBefore = (a: Weighed, b: Weighed): boolean =>
	a.weight === b.weight ? a.id < b.id : a.weight > b.weight;

const insert = (best: Weighed[], candidate: Weighed): void => {
	const index = best.findIndex(other => isBefore(candidate, other));
	best.splice(index === -1 ? best.length : index, 0, candidate);
};

/** The finalizer of MurmurHash3: spreads a difference in any bit over all of them. */
const mix = (value: number): number => {
	let mixed = value ^ (value >>> 16);
	mixed = Math.imul(mixed, 0x85_eb_ca_6b);
	mixed ^= mixed >>> 13;
	mixed = Math.imul(mixed, 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};
