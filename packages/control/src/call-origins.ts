type JobOrigins = {
	/** Recent calls, by the service of the host where they began. */
	readonly byService: Map<string, number>;
	total: number;
};

/** Calls of a job needed before it is classified. */
const minCalls = 20;

/** A service that makes a smaller share of a job's calls does not count as a caller of it. */
const minCallerShare = 0.01;

/** Least share of all hosts from which the requests of external callers come. */
const minExternalCoverage = 0.75;
const maxCalls = 400;
const maxJobs = 2000;

/**
 * Distinguishes requests of external callers from internal calls between services. External callers
 * run on hosts of every service, while the calls of a service come from the hosts of that service
 * only.
 *
 * @example
 * origins.record('LEDGER', 'payment');
 * origins.isCall('LEDGER', hostsByService); // undefined while there are too few calls
 */
export class CallOrigins {
	/** Creates a table without calls. */
	static create(): CallOrigins {
		return new CallOrigins();
	}

	private readonly jobs = new Map<string, JobOrigins>();

	private constructor() {}

	/** Records a call and the service of the host where it began. */
	record(job: string, service: string): void {
		const origins = this.jobs.get(job) ?? {byService: new Map<string, number>(), total: 0};
		if (!this.jobs.has(job) && this.jobs.size >= maxJobs) {
			return;
		}

		this.jobs.set(job, origins);
		if (origins.total >= maxCalls) {
			origins.total /= 2;
			for (const [name, count] of origins.byService) {
				origins.byService.set(name, count / 2);
			}
		}

		origins.byService.set(service, (origins.byService.get(service) ?? 0) + 1);
		origins.total++;
	}

	/**
	 * Whether a job is called by services only, given the number of hosts of each service; undefined
	 * while there are too few calls to classify it.
	 */
	isCall(job: string, hostsByService: ReadonlyMap<string, number>): boolean | undefined {
		const origins = this.jobs.get(job);
		if (!origins || origins.total < minCalls || hostsByService.size < 2) {
			return undefined;
		}

		let coveredHosts = 0;
		let totalHosts = 0;
		for (const [service, count] of hostsByService) {
			totalHosts += count;
			coveredHosts +=
				(origins.byService.get(service) ?? 0) >= origins.total * minCallerShare ? count : 0;
		}

		return coveredHosts < totalHosts * minExternalCoverage;
	}
}
