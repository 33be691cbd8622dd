import {createHmac} from 'node:crypto';
import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';

type Parts = {
	readonly dataCentre: string;
	readonly node: string;
	readonly incarnation: number;
	readonly issuedMs: number;
	readonly sequence: number;
};

const separator = '~';
const radix = 36;
const macLength = 12;
const maxKeyLength = 300;

/**
 * An idempotency key. It names the data centre, node and incarnation that issued it; only that
 * process may start its request.
 *
 * @example
 * const key = IdempotencyKey.parse(text);
 */
export class IdempotencyKey {
	/** Creates a key and signs it with the secret of the issuing process. */
	static create(parts: Parts, secret: string): IdempotencyKey {
		const body = [
			parts.dataCentre,
			parts.node,
			parts.incarnation.toString(radix),
			parts.issuedMs.toString(radix),
			parts.sequence.toString(radix),
		].join(separator);
		return new IdempotencyKey(parts, body, macOf(body, secret));
	}

	/** Parses a key from a header. Only the issuer checks the signature. */
	static parse(text: string): Result<IdempotencyKey, Fault> {
		const fields = text.length <= maxKeyLength ? text.split(separator) : [];
		const [dataCentre, node, incarnation, issued, sequence, mac] = fields;
		const numbers = [incarnation, issued, sequence].map(field =>
			Number.parseInt(field ?? '', radix),
		);
		if (fields.length !== 6 || !dataCentre || !node || !mac || !numbers.every(n => n >= 0)) {
			return err(malformed);
		}

		const parts = {
			dataCentre,
			node,
			incarnation: numbers[0]!,
			issuedMs: numbers[1]!,
			sequence: numbers[2]!,
		};
		return ok(new IdempotencyKey(parts, fields.slice(0, -1).join(separator), mac));
	}

	private constructor(
		readonly parts: Parts,
		private readonly body: string,
		private readonly mac: string,
	) {}

	/** The key as sent in the header. */
	get text(): string {
		return `${this.body}${separator}${this.mac}`;
	}

	/** Whether the key was signed with this secret. */
	isSignedWith(secret: string): boolean {
		return macOf(this.body, secret) === this.mac;
	}
}

const macOf = (body: string, secret: string): string =>
	createHmac('sha256', secret).update(body).digest('base64url').slice(0, macLength);

const malformed = Fault.of(
	faultKinds.keyInvalid,
	'The idempotency key was not issued by this system',
	'Fetch one from POST /medlar/keys, or take it from the medlar-next-key header of an answer',
);
