import {hash32} from './hash32.js';

type Candidate = {
	readonly id: string;
	readonly weight: number;
};

/**
 * Selects `count` of `ids` for `key` by rendezvous (highest random weight) hashing, the highest
 * weight first. Callers with the same ids get the same result, and adding or removing an id changes
 * as few results as possible.
 *
 * @example
 * const holders = rendezvous(key, memberIds, 2);
 */
export const rendezvous = (key: string, ids: readonly string[], count: number): string[] => {
	const keyHash = hash32(key);
	const best: Candidate[] = [];
	for (const id of ids) {
		const candidate = {id, weight: finalizeHash(hash32(id) ^ keyHash)};
		const last = best.at(-1);
		if (best.length < count || (last && isBefore(candidate, last))) {
			insert(best, candidate);
			best.length = Math.min(best.length, count);
		}
	}

	return best.map(({id}) => id);
};

const isBefore = (a: Candidate, b: Candidate): boolean =>
	a.weight === b.weight ? a.id < b.id : a.weight > b.weight;

const insert = (best: Candidate[], candidate: Candidate): void => {
	const index = best.findIndex(other => isBefore(candidate, other));
	best.splice(index === -1 ? best.length : index, 0, candidate);
};

/** The finalizer of MurmurHash3: a change of any input bit affects all output bits. */
const finalizeHash = (value: number): number => {
	let mixed = value ^ (value >>> 16);
	mixed = Math.imul(mixed, 0x85_eb_ca_6b);
	mixed ^= mixed >>> 13;
	mixed = Math.imul(mixed, 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};
