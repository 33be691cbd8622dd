import {type Clock, hash32} from '@medlarsaddle/core';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import {supersedes} from './supersedes.js';

const tombstoneMs = 60_000;

type Row = {
	readonly member: Member;
	readonly sinceMs: number;
};

/**
 * The members of one data centre as this node knows them. Dead members stay for a while, so that
 * old news of them being alive is not believed.
 *
 * @example
 * const isNews = table.merge(heard);
 */
export class MemberTable {
	/** Creates an empty table. */
	static create(clock: Clock): MemberTable {
		return new MemberTable(clock);
	}

	private readonly rows = new Map<string, Row>();
	private hash = 0;
	private aliveCache: readonly Member[] | undefined;

	private constructor(private readonly clock: Clock) {}

	/** Members that are alive or merely suspected. */
	get alive(): readonly Member[] {
		this.aliveCache ??= [...this.rows.values()].map(({member}) => member).filter(m => isUp(m));
		return this.aliveCache;
	}

	/** Everything known, dead members included. */
	get all(): readonly Member[] {
		return [...this.rows.values()].map(({member}) => member);
	}

	/** Members that are dead or have left and are not forgotten yet. */
	get gone(): readonly Member[] {
		return this.all.filter(member => !isUp(member));
	}

	/** A number that two tables share when they know the same. */
	get digest(): number {
		return this.hash;
	}

	/** What is known of a member. */
	get(id: string): Member | undefined {
		return this.rows.get(id)?.member;
	}

	/** Takes in what was heard of a member; true when it was news. */
	merge(heard: Member): boolean {
		const known = this.rows.get(heard.id);
		if (known && !supersedes(heard, known.member)) {
			return false;
		}

		// An unknown member that is dead already is not worth a tombstone.
		if (!known && !isUp(heard)) {
			return false;
		}

		const nowMs = this.clock.monotonic();
		this.hash ^= (known ? fold(known.member) : 0) ^ fold(heard);
		this.rows.set(heard.id, {member: heard, sinceMs: nowMs});
		this.aliveCache = undefined;
		return true;
	}

	/** Members suspected for longer than `timeoutMs`. */
	overdueSuspects(timeoutMs: number): Member[] {
		const oldestMs = this.clock.monotonic() - timeoutMs;
		return [...this.rows.values()]
			.filter(({member, sinceMs}) => member.state === memberStates.suspect && sinceMs <= oldestMs)
			.map(({member}) => member);
	}

	/** Forgets members that have been dead for long. */
	expireTombstones(): void {
		const oldestMs = this.clock.monotonic() - tombstoneMs;
		for (const [id, {member, sinceMs}] of this.rows) {
			if (!isUp(member) && sinceMs <= oldestMs) {
				this.rows.delete(id);
			}
		}
	}
}

const isUp = ({state}: Member): boolean =>
	state === memberStates.alive || state === memberStates.suspect;

/** Dead members do not count, so that a table that forgot them agrees with one that has not. */
const fold = (member: Member): number =>
	isUp(member) ? hash32(`${member.id}\u0000${member.incarnation}\u0000${member.version}`) : 0;
