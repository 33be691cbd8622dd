type Seen = {
	/** Calls lately seen, by the service of the host where they began. */
	readonly byService: Map<string, number>;
	total: number;
};

/** Calls that have to be seen of a job before it is judged. */
const leastSeen = 20;

/** A service with less of a job's calls is not counted among its callers. */
const leastShare = 0.01;

/** Share of the hosts from which requests of outside callers come, at least. */
const outsideCoverage = 0.75;
const maxSeen = 400;
const maxJobs = 2000;

/**
 * Tells requests of outside callers from calls that services make of each other. Outside callers
 * sit on hosts of every service, while a service's calls come from the hosts of that service alone.
 *
 * @example
 * spread.saw('LEDGER', 'payment');
 * spread.isCall('LEDGER', hostsByService); // undefined while too little was seen
 */
export class CallerSpread {
	/** Creates a spread that has seen no call. */
	static create(): CallerSpread {
		return new CallerSpread();
	}

	private readonly jobs = new Map<string, Seen>();

	private constructor() {}

	/** Notes a call and the service of the host where it began. */
	saw(job: string, service: string): void {
		const seen = this.jobs.get(job) ?? {byService: new Map<string, number>(), total: 0};
		if (!this.jobs.has(job) && this.jobs.size >= maxJobs) {
			return;
		}

		this.jobs.set(job, seen);
		if (seen.total >= maxSeen) {
			seen.total /= 2;
			for (const [name, count] of seen.byService) {
				seen.byService.set(name, count / 2);
			}
		}

		seen.byService.set(service, (seen.byService.get(service) ?? 0) + 1);
		seen.total++;
	}

	/**
	 * Whether a job is called by services only, given the hosts of each service; undefined while too
	 * little was seen to tell.
	 */
	isCall(job: string, hosts: ReadonlyMap<string, number>): boolean | undefined {
		const seen = this.jobs.get(job);
		if (!seen || seen.total < leastSeen || hosts.size < 2) {
			return undefined;
		}

		let covered = 0;
		let all = 0;
		for (const [service, count] of hosts) {
			all += count;
			covered += (seen.byService.get(service) ?? 0) >= seen.total * leastShare ? count : 0;
		}

		return covered < all * outsideCoverage;
	}
}
