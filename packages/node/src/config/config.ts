import {EventEmitter} from 'node:events';
import {type Log, events, hash32} from '@medlarsaddle/core';
import {Policy, type Section} from '@medlarsaddle/policy';

type Opts = {
	readonly log: Log;
};

/**
 * The policy in force on this node. Sections arrive from the platform or from other nodes in any
 * order; an older version never replaces a newer one.
 *
 * @example
 * config.apply(section, 'store');
 */
export class Config {
	/** Creates a config without sections. */
	static create({log}: Opts): Config {
		return new Config(log);
	}

	private current = Policy.empty();
	private hash = 0;
	private readonly changes = new EventEmitter<{section: [Section]}>().setMaxListeners(0);

	private constructor(private readonly log: Log) {}

	/** The policy in force. */
	get policy(): Policy {
		return this.current;
	}

	/** Hash of the held versions; equal on two nodes that hold the same ones. */
	get digest(): number {
		return this.hash;
	}

	/** Held version of each section, by name. */
	get versions(): Record<string, number> {
		return Object.fromEntries(
			[...this.current.sections].map(([name, {version}]) => [name, version]),
		);
	}

	/** Sections that are newer than the given versions. */
	newerThan(versions: Readonly<Record<string, number>>): Section[] {
		return [...this.current.sections.values()].filter(
			({name, version}) => version > (versions[name] ?? 0),
		);
	}

	/** Puts a section in force if it is newer than the held one; returns whether it did. */
	apply(section: Section, source: string): boolean {
		const heldVersion = this.current.versionOf(section.name);
		if (section.version <= heldVersion) {
			return false;
		}

		const next = this.current.with(section);
		if (next.isErr()) {
			this.log(events.policyRejected, {section: section.name, error: next.error.message});
			return false;
		}

		this.current = next.value;
		this.hash ^=
			(heldVersion > 0 ? hashVersion(section.name, heldVersion) : 0) ^
			hashVersion(section.name, section.version);
		this.log(events.policyInForce, {section: section.name, version: section.version, source});
		this.changes.emit('section', section);
		return true;
	}

	/** Calls the listener after each section that comes into force, until the signal aborts. */
	onSection(listener: (section: Section) => void, signal: AbortSignal): void {
		this.changes.on('section', listener);
		signal.addEventListener('abort', () => this.changes.off('section', listener));
	}
}

const hashVersion = (name: string, version: number): number => hash32(`${name}\u0000${version}`);
