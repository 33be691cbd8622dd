import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import {supersedes} from './supersedes.js';

const maxPerGroup = 4;

/**
 * A few members of each other group, kept so that a group can reach the others without
 * knowing all their members.
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

	/** Groups of which a contact is known. */
	get groups(): string[] {
		return [...this.byGroup.keys()];
	}

	/** Contacts in a group, the most recently heard first. */
	of(group: string): readonly Member[] {
		return this.byGroup.get(group) ?? [];
	}

	/** Takes in a member of another group; true when it was news. */
	merge(heard: Member): boolean {
		const known = this.of(heard.group);
		const same = known.find(({id}) => id === heard.id);
		if (same && !supersedes(heard, same)) {
			return false;
		}

		const others = known.filter(({id}) => id !== heard.id);
		const isUp = heard.state === memberStates.alive || heard.state === memberStates.suspect;
		if (!same && !isUp) {
			return false;
		}

		const kept = isUp ? [heard, ...others].slice(0, maxPerGroup) : others;
		this.byGroup.set(heard.group, kept);
		return true;
	}

	/** Moves a contact that did not answer behind the others. */
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
