import type {FaultKind} from './fault-kind.js';

/**
 * A typed error value. Functions return it inside a `Result`; it is thrown only where a library
 * leaves no other way.
 *
 * @example
 * return err(Fault.of(faultKinds.conflict, 'The version has moved on', 'Read it again, then retry'));
 */
export class Fault {
	/** Creates a fault from what happened and what the reader can do about it. */
	static of(kind: FaultKind, what: string, remedy: string): Fault {
		return new Fault(kind, what, remedy);
	}

	/** Creates a fault from a message that came over the wire, remedy included. */
	static received(kind: FaultKind, message: string): Fault {
		const end = message.lastIndexOf('. ');
		return end === -1
			? new Fault(kind, message.replace(/\.$/v, ''), '')
			: new Fault(kind, message.slice(0, end), message.slice(end + 2).replace(/\.$/v, ''));
	}

	private constructor(
		readonly kind: FaultKind,
		readonly what: string,
		readonly remedy: string,
	) {}

	/** The whole message, with the remedy last. */
	get message(): string {
		return this.remedy === '' ? `${this.what}.` : `${this.what}. ${this.remedy}.`;
	}
}
