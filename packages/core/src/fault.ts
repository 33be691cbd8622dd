import type {FaultKind} from './fault-kind.js';

/**
 * A typed error value. Functions return it inside a `Result`; it is thrown only where a library
 * requires an exception.
 *
 * @example
 * return err(Fault.of(faultKinds.conflict, 'The version is outdated', 'Read it again and retry'));
 */
export class Fault {
	/** Creates a fault from a description of what happened and of what the reader can do about it. */
	static of(kind: FaultKind, what: string, remedy: string): Fault {
		return new Fault(kind, what, remedy);
	}

	/** Parses a message that was received from another process; its last sentence is the remedy. */
	static fromMessage(kind: FaultKind, message: string): Fault {
		const whatEnd = message.lastIndexOf('. ');
		return whatEnd === -1
			? new Fault(kind, message.replace(/\.$/v, ''), '')
			: new Fault(kind, message.slice(0, whatEnd), message.slice(whatEnd + 2).replace(/\.$/v, ''));
	}

	private constructor(
		readonly kind: FaultKind,
		readonly what: string,
		readonly remedy: string,
	) {}

	/** The full message: what happened, then the remedy. */
	get message(): string {
		return this.remedy === '' ? `${this.what}.` : `${this.what}. ${this.remedy}.`;
	}
}
