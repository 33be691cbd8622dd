import murmurhash from 'murmurhash';

/**
 * Hashes text to an unsigned 32-bit integer with MurmurHash3; the result is the same on every host.
 *
 * @example
 * const bucket = hash32(name) % bucketCount;
 */
export const hash32 = (text: string): number => murmurhash.v3(text) >>> 0;
