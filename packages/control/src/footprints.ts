/** Weight of one answer in the smoothed footprint of its job. */
const smoothingFactor = 0.1;
const maxJobs = 2000;

/**
 * The work that a request of each job causes at each service, including downstream calls, as
 * reported on answers.
 *
 * @example
 * footprints.learn('PAY', [['payment', 110], ['rules', 160]]);
 * footprints.of('PAY').get('rules'); // 160
 */
export class Footprints {
	/** Creates a table without jobs. */
	static create(): Footprints {
		return new Footprints();
	}

	private readonly jobs = new Map<string, Map<string, number>>();

	private constructor() {}

	/** Work of one request by service, in slot-milliseconds; empty for an unknown job. */
	of(job: string): ReadonlyMap<string, number> {
		return this.jobs.get(job) ?? emptyFootprint;
	}

	/** Adds the footprint that an answer reports. */
	learn(job: string, reported: ReadonlyArray<readonly [service: string, workMs: number]>): void {
		const footprint = this.jobs.get(job);
		if (!footprint) {
			if (this.jobs.size < maxJobs) {
				this.jobs.set(job, new Map(reported));
			}

			return;
		}

		const reportedByService = new Map(reported);
		for (const service of new Set([...footprint.keys(), ...reportedByService.keys()])) {
			const previousMs = footprint.get(service) ?? 0;
			footprint.set(
				service,
				previousMs + ((reportedByService.get(service) ?? 0) - previousMs) * smoothingFactor,
			);
		}
	}
}

const emptyFootprint: ReadonlyMap<string, number> = new Map();
