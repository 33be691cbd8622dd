import {type Random, pick} from '@medlarsaddle/core';
import type {Member} from './member.js';

/**
 * Picks members at random, and none again before all others have been picked.
 *
 * @example
 * const targets = rotation.next(members, 3);
 */
export class TargetRotation {
	/** Creates a rotation that has picked no member yet. */
	static create(random: Random): TargetRotation {
		return new TargetRotation(random);
	}

	private readonly pickedIds = new Set<string>();

	private constructor(private readonly random: Random) {}

	/** Returns up to `count` of the members. */
	next(members: readonly Member[], count: number): readonly Member[] {
		const due = members.filter(({id}) => !this.pickedIds.has(id));
		const targets = pick(due, count, this.random);
		if (targets.length < count) {
			this.pickedIds.clear();
			const others = members.filter(member => !targets.includes(member));
			targets.push(...pick(others, count - targets.length, this.random));
		}

		for (const {id} of targets) {
			this.pickedIds.add(id);
		}

		return targets;
	}
}
