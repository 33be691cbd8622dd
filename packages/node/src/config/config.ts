import {EventEmitter} from 'node:events';
import {type Log, events, hash32} from '@medlarsaddle/core';
import {Policy, type Section} from '@medlarsaddle/policy';

type Opts = {
	readonly log: Log;
};

/**
 * The policy in force at this node. Sections come from the platform or from other nodes in any
 * order; an older version never takes the place of a newer one.
 *
 * @example
 * config.take(section, 'store');
 */
export class Config {
	/** Creates a config that holds no sections. */
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

	/** A number that two nodes share when they hold the same versions. */
	get digest(): number {
		return this.hash;
	}

	/** Version held of each section. */
	get versions(): Record<string, number> {
		return Object.fromEntries(
			[...this.current.sections].map(([name, {version}]) => [name, version]),
		);
	}

	/** Sections that are newer than the versions given. */
	newerThan(versions: Readonly<Record<string, number>>): Section[] {
		return [...this.current.sections.values()].filter(
			({name, version}) => version > (versions[name] ?? 0),
		);
	}

	/** Puts a section in force if it is newer; true when it was. */
	take(section: Section, source: string): boolean {
		const before = this.current.versionOf(section.name);
		if (section.version <= before) {
			return false;
		}

		const next = this.current.with(section);
		if (next.isErr()) {
			this.log(events.policyRejected, {section: section.name, error: next.error.message});
			return false;
		}

		this.current = next.value;
		this.hash ^=
			(before > 0 ? fold(section.name, before) : 0) ^ fold(section.name, section.version);
		this.log(events.policyInForce, {section: section.name, version: section.version, source});
		this.changes.emit('section', section);
		return true;
	}

	/** Calls back after each section that comes into force, until the signal aborts. */
	onSection(listener: (section: Section) => void, signal: AbortSignal): void {
		this.changes.on('section', listener);
		signal.addEventListener('abort', () => this.changes.off('section', listener));
	}
}

const fold = (name: string, version: number): number => hash32(`${name}\u0000${version}`);
