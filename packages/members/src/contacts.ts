import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import {supersedes} from './supersedes.js';

const maxPerGroup = 4;

/**
 * A few members of each other group, kept so that a node can reach those groups without knowing all
 * of their members.
 *
 * @example
 * const contact = contacts.of('dc2')[0];
 */
export class Contacts {
	/** Creates an empty set. */
	static create(): Contacts {
		return new Contacts();
	}

	private readonly byGroup = new Map<string, Member[]>();

	private constructor() {}

	/** Groups with known contacts. */
	get groups(): string[] {
		return [...this.byGroup.keys()];
	}

	/** Contacts in a group: the most recently updated first, unresponsive ones last. */
	of(group: string): readonly Member[] {
		return this.byGroup.get(group) ?? [];
	}

	/** Merges a record of a member of another group. Returns true when it was new. */
	merge(received: Member): boolean {
		const known = this.of(received.group);
		const existing = known.find(({id}) => id === received.id);
		if (existing && !supersedes(received, existing)) {
			return false;
		}

		const others = known.filter(({id}) => id !== received.id);
		const isUp = received.state === memberStates.alive || received.state === memberStates.suspect;
		if (!existing && !isUp) {
			return false;
		}

		const kept = isUp ? [received, ...others].slice(0, maxPerGroup) : others;
		this.byGroup.set(received.group, kept);
		return true;
	}

	/** Moves a contact that did not answer to the end of its group. */
	demote(id: string): void {
		for (const [group, members] of this.byGroup) {
			const found = members.find(member => member.id === id);
			if (found) {
				const rest = members.filter(member => member !== found);
				this.byGroup.set(group, [...rest, found]);
			}
		}
	}
}
