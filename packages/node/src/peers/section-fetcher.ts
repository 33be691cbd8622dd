import {type Clock, type Log, events} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Data centre of this node. */
	readonly dataCentre: string;
	/** Held version of a section; 0 when there is none. */
	readonly versionOf: (name: string) => number;
	/** Fetches what is newer at a member. */
	readonly fetchFrom: (member: Member) => Promise<void>;
};

type Pending = {
	readonly version: number;
	/** Members that announced the version and have not been asked yet, the next one first. */
	readonly sources: Member[];
	/** Monotonic time of the last fetch that was started. */
	startedMs: number;
};

/**
 * Head start of sources in the data centre of this node, in milliseconds, since traffic between
 * data centres is billed.
 */
const remoteDelayMs = 150;

/** Time after which a fetch that has not ended no longer holds back one from another source. */
const fetchPatienceMs = 300;
const maxSources = 4;

/**
 * Fetches the sections that other members announce: each version from one member at a time, one of
 * the same data centre first. A section may be large, and its announcement arrives from several
 * members within milliseconds.
 *
 * @example
 * fetcher.noteAnnounced('routes', 7, member);
 */
export class SectionFetcher {
	/** Creates a fetcher that has heard of no version yet. */
	static create(opts: Opts): SectionFetcher {
		return new SectionFetcher(opts);
	}

	private readonly pending = new Map<string, Pending>();

	private constructor(private readonly opts: Opts) {}

	/** Records that a member announced that it holds a version of a section. */
	noteAnnounced(name: string, version: number, source: Member): void {
		const {clock, log, dataCentre, versionOf} = this.opts;
		const held = versionOf(name);
		if (version <= held) {
			return;
		}

		const known = this.pending.get(name);
		const isNew = !known || known.version < version;
		const pending = isNew ? {version, sources: [], startedMs: Number.NEGATIVE_INFINITY} : known;
		if (isNew) {
			log(events.policySectionAnnounced, {section: name, version, source: source.id, held});
			this.pending.set(name, pending);
		}

		if (version < pending.version || pending.sources.length >= maxSources) {
			return;
		}

		if (source.dataCentre === dataCentre) {
			pending.sources.unshift(source);
			this.fetchNext(name, pending);
		} else {
			pending.sources.push(source);
			clock.after(remoteDelayMs, () => {
				this.fetchNext(name, pending);
			});
		}
	}

	private fetchNext(name: string, pending: Pending): void {
		const {clock, versionOf, fetchFrom} = this.opts;
		if (versionOf(name) >= pending.version) {
			if (this.pending.get(name) === pending) {
				this.pending.delete(name);
			}

			return;
		}

		const waitedMs = clock.monotonic() - pending.startedMs;
		const source = waitedMs < fetchPatienceMs ? undefined : pending.sources.shift();
		if (!source) {
			return;
		}

		pending.startedMs = clock.monotonic();
		const proceed = () => {
			this.fetchNext(name, pending);
		};

		clock.after(fetchPatienceMs, proceed);
		fetchFrom(source).then(
			() => {
				pending.startedMs = Number.NEGATIVE_INFINITY;
				proceed();
			},
			() => {
				pending.startedMs = Number.NEGATIVE_INFINITY;
				proceed();
			},
		);
	}
}
