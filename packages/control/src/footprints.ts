/** Weight of one answer in the footprint of its job. */
const gain = 0.1;
const maxJobs = 2000;

/**
 * Work that a request of each job takes at each service, calls further down included, as answers
 * report it.
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

	/** Work of one request in milliseconds of places, by service; empty when nothing is known. */
	of(job: string): ReadonlyMap<string, number> {
		return this.jobs.get(job) ?? none;
	}

	/** Takes in what an answer reports. */
	learn(job: string, reported: ReadonlyArray<readonly [service: string, workMs: number]>): void {
		const known = this.jobs.get(job);
		if (!known) {
			if (this.jobs.size < maxJobs) {
				this.jobs.set(job, new Map(reported));
			}

			return;
		}

		const now = new Map(reported);
		for (const service of new Set([...known.keys(), ...now.keys()])) {
			const before = known.get(service) ?? 0;
			known.set(service, before + ((now.get(service) ?? 0) - before) * gain);
		}
	}
}

const none: ReadonlyMap<string, number> = new Map();
