import {type Clock, hash32} from '@medlarsaddle/core';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import {supersedes} from './supersedes.js';

/** How long dead members are kept. */
const tombstoneRetentionMs = 60_000;

type Row = {
	readonly member: Member;
	readonly updatedMs: number;
};

/**
 * The known members of one group. Dead members are kept as tombstones for a while, so that an
 * outdated rumor does not mark them as alive again.
 *
 * @example
 * const isNew = table.merge(received);
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

	/** Members that are alive or suspect. */
	get alive(): readonly Member[] {
		this.aliveCache ??= [...this.rows.values()].map(({member}) => member).filter(m => isUp(m));
		return this.aliveCache;
	}

	/** All known members, dead ones included. */
	get all(): readonly Member[] {
		return [...this.rows.values()].map(({member}) => member);
	}

	/** Members that are dead or have left, as long as their tombstones are kept. */
	get down(): readonly Member[] {
		return this.all.filter(member => !isUp(member));
	}

	/** Digest of the records; tables with the same live members have equal digests. */
	get digest(): number {
		return this.hash;
	}

	/** The record of a member; undefined when it is not known. */
	get(id: string): Member | undefined {
		return this.rows.get(id)?.member;
	}

	/** The record of a member that is alive or suspect; undefined for any other. */
	getAlive(id: string): Member | undefined {
		const member = this.get(id);
		return member && isUp(member) ? member : undefined;
	}

	/** Merges a received record of a member. Returns true when it replaced the known one. */
	merge(received: Member): boolean {
		const known = this.rows.get(received.id);
		if (known && !supersedes(received, known.member)) {
			return false;
		}

		// An unknown member that is already dead needs no tombstone.
		if (!known && !isUp(received)) {
			return false;
		}

		const nowMs = this.clock.monotonic();
		this.hash ^= (known ? memberDigest(known.member) : 0) ^ memberDigest(received);
		this.rows.set(received.id, {member: received, updatedMs: nowMs});
		this.aliveCache = undefined;
		return true;
	}

	/** Members that have been suspect for at least `timeoutMs`. */
	overdueSuspects(timeoutMs: number): Member[] {
		const oldestMs = this.clock.monotonic() - timeoutMs;
		return [...this.rows.values()]
			.filter(
				({member, updatedMs}) => member.state === memberStates.suspect && updatedMs <= oldestMs,
			)
			.map(({member}) => member);
	}

	/** Removes members that have been dead, or have left, for longer than tombstones are kept. */
	expireTombstones(): void {
		const oldestMs = this.clock.monotonic() - tombstoneRetentionMs;
		for (const [id, {member, updatedMs}] of this.rows) {
			if (!isUp(member) && updatedMs <= oldestMs) {
				this.rows.delete(id);
			}
		}
	}
}

const isUp = ({state}: Member): boolean =>
	state === memberStates.alive || state === memberStates.suspect;

/**
 * 0 for dead members, so that the digest is the same whether or not their tombstones are still
 * kept.
 */
const memberDigest = (member: Member): number =>
	isUp(member) ? hash32(`${member.id}\u0000${member.incarnation}\u0000${member.version}`) : 0;
