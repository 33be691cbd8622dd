import type {Admission, ByteBudget} from '@medlarsaddle/control';
import type {Clock, Log} from '@medlarsaddle/core';
import type {z} from 'zod';
import type {announcement} from './announcement.js';
import {ConnectionPool} from './connection-pool.js';

type Announcement = z.infer<typeof announcement>;

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	/** Default host of the upstream, if it announced none. */
	readonly host: string;
	readonly maxBodyBytes: number;
	/** What the bodies of answers may hold together while they are read. */
	readonly budget?: ByteBudget | undefined;
	readonly createAdmission: (announced: Announcement) => Admission;
};

/**
 * An announced upstream: its announcement, its connections and its admission.
 *
 * @example
 * const current = AnnouncedUpstream.create(opts, announced);
 */
export class AnnouncedUpstream {
	/** Creates the record of a newly announced upstream, with initial limits. */
	static create(opts: Opts, announced: Announcement): AnnouncedUpstream {
		const {clock, log, host, maxBodyBytes, budget, createAdmission} = opts;
		const pool = ConnectionPool.create({
			origin: `http://${announced.host ?? host}:${announced.port}`,
			healthPath: announced.healthPath,
			maxConnections: announced.connections,
			maxBodyBytes,
			budget,
			clock,
			log,
		});
		return new AnnouncedUpstream(opts, announced, pool, createAdmission(announced));
	}

	private constructor(
		private readonly opts: Opts,
		readonly announcement: Announcement,
		readonly pool: ConnectionPool,
		readonly admission: Admission,
	) {}

	/** Whether an announcement is from the same process at the same address. */
	isSameProcess({instance, service, port, host}: Announcement): boolean {
		const known = this.announcement;
		return (
			known.instance === instance &&
			known.service === service &&
			known.port === port &&
			known.host === host
		);
	}

	/**
	 * Returns the same upstream with a new announcement. It keeps the connections, so that calls in
	 * flight continue.
	 */
	withAnnouncement(next: Announcement): AnnouncedUpstream {
		const {healthPath, connections} = next;
		this.pool.updateSettings({healthPath, maxConnections: connections});
		const admission = this.hasSameLimit(next) ? this.admission : this.opts.createAdmission(next);
		return new AnnouncedUpstream(this.opts, next, this.pool, admission);
	}

	private hasSameLimit(next: Announcement): boolean {
		const {announcement: known, opts} = this;
		const isUnchanged = known.slots === next.slots && known.connections === next.connections;
		const limitOf = (announced: Announcement) => opts.createAdmission(announced).limitValue;
		return isUnchanged || limitOf(known) === limitOf(next);
	}
}
