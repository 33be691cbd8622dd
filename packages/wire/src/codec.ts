import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: true});

/**
 * Encodes and decodes messages and datagrams as MessagePack.
 *
 * @example
 * const bytes = codec.encode(message);
 */
export const codec = {
	encode: (value: unknown): Buffer => packr.pack(value),
	decode: (bytes: Uint8Array): unknown => packr.unpack(bytes),
} as const;
