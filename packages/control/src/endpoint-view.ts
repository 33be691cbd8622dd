import type {Clock} from '@medlarsaddle/core';

type EndpointState = {
	/** Calls that this node has in flight there. */
	inFlight: number;
	/** Last reported number of running and waiting calls, divided by the limit. */
	load: number;
	/** Last reported expected wait of a new call, in milliseconds. */
	waitMs: number;
	reportedMs: number;
	/** When it last reported, or when a call was sent while none was in flight. */
	silentSinceMs: number;
	/** Calls that this node had in flight there at the last report. */
	inFlightAtReport: number;
	limit: number;
	failures: number;
	ejections: number;
	avoidedUntilMs: number;
	/** Smoothed time of a call there, by job, in milliseconds. */
	readonly holdMsByJob: Map<string, number>;
};

type Report = {
	readonly load: number;
	readonly waitMs: number;
	readonly limit: number;
	readonly job: string;
	/** Time from sending the call to its answer, in milliseconds; undefined without an answer. */
	readonly heldMs?: number;
};

/** Time in which a report of the queue loses half of its weight. */
const reportHalfLifeMs = 250;
const holdSmoothingFactor = 0.15;

/** Load above which a call is likely to wait. */
const busyLoad = 0.85;

/**
 * An endpoint is avoided once calls have been in flight for this long, plus this multiple of their
 * usual time, without any report from it: its host or the network path to it may have failed.
 */
const silenceMs = 300;
const silenceFactor = 2;

/**
 * Share of the goal within which the time of a call is no risk, and the weight that it still has.
 */
const safeGoalShare = 0.5;
const safeWeight = 0.1;
const failuresToEject = 4;
const firstEjectionMs = 500;
const maxEjectionMs = 8000;
const maxJobs = 200;

/** Weight of one report in what is typical of the endpoints of a job. */
const typicalSmoothingFactor = 0.1;

type Typical = {
	load: number;
	waitMs: number;
	holdMs: number;
};

/**
 * This node's view of each endpoint: the load and the wait reported on its answers, the time that
 * its jobs take, and its failures. What a report tells of a queue is soon out of date; then, and for
 * an endpoint not seen yet, the endpoint counts as a typical one of the job. This handles many
 * endpoints of which each entry sees each one rarely: if those without a report counted as idle, they
 * would be chosen before those that are known to be.
 *
 * @example
 * view.noteSent('dc1-a');
 * view.noteReport('dc1-a', {load: 0.4, waitMs: 0, limit: 22, job: 'PAY', heldMs: 110});
 * view.costMs('dc1-a', 'PAY', 300);
 */
export class EndpointView {
	/** Creates a view without endpoints. */
	static create(clock: Clock): EndpointView {
		return new EndpointView(clock);
	}

	private readonly nodes = new Map<string, EndpointState>();
	private readonly typicalByJob = new Map<string, Typical>();

	private constructor(private readonly clock: Clock) {}

	/** Records that a call was sent. */
	noteSent(node: string): void {
		const state = this.of(node);
		if (state.inFlight === 0) {
			state.silentSinceMs = this.clock.monotonic();
		}

		state.inFlight++;
	}

	/** Records that a call ended. */
	noteEnded(node: string): void {
		const state = this.of(node);
		state.inFlight = Math.max(0, state.inFlight - 1);
	}

	/** Records the state that an endpoint reported with an answer or a refusal. */
	noteReport(node: string, {load, waitMs, limit, job, heldMs}: Report): void {
		const state = this.of(node);
		state.load = load;
		state.waitMs = waitMs;
		state.limit = Math.max(1, limit);
		state.reportedMs = this.clock.monotonic();
		state.silentSinceMs = state.reportedMs;
		state.inFlightAtReport = state.inFlight;
		this.noteTypical(job, load, waitMs, heldMs);
		if (heldMs !== undefined && (state.holdMsByJob.has(job) || state.holdMsByJob.size < maxJobs)) {
			const known = state.holdMsByJob.get(job) ?? heldMs;
			state.holdMsByJob.set(job, known + (heldMs - known) * holdSmoothingFactor);
		}
	}

	/** Records an answer that shows that the endpoint works; it ends a series of failures. */
	noteSuccess(node: string): void {
		const state = this.of(node);
		state.failures = 0;
		state.ejections = 0;
	}

	/** Records a failure; several in a row eject the endpoint for a time that doubles. */
	noteFailure(node: string): void {
		const state = this.of(node);
		state.failures++;
		if (state.failures >= failuresToEject) {
			state.failures = 0;
			this.avoid(node, Math.min(maxEjectionMs, firstEjectionMs * 2 ** state.ejections++));
		}
	}

	/** Avoids an endpoint for a time. */
	avoid(node: string, ms: number): void {
		const state = this.of(node);
		state.avoidedUntilMs = Math.max(state.avoidedUntilMs, this.clock.monotonic() + ms);
	}

	/** Whether the endpoint is avoided now. */
	isAvoided(node: string): boolean {
		const state = this.nodes.get(node);
		const nowMs = this.clock.monotonic();
		return state !== undefined && (state.avoidedUntilMs > nowMs || this.isSilent(state, nowMs));
	}

	/**
	 * Expected cost of a call of a job there, in milliseconds: its wait, and its time as far as that
	 * puts the goal at risk. Time well within the goal has little weight.
	 */
	costMs(node: string, job: string, goalMs: number): number {
		const state = this.nodes.get(node);
		const typical = this.typicalByJob.get(job) ?? nothingTypical;
		const holdMs = state?.holdMsByJob.get(job) ?? typical.holdMs;
		const ageMs = state ? this.clock.monotonic() - state.reportedMs : Number.POSITIVE_INFINITY;
		const freshness = 0.5 ** (ageMs / reportHalfLifeMs);
		const sentSinceReport = state ? Math.max(0, state.inFlight - state.inFlightAtReport) : 0;
		const load =
			typical.load +
			((state?.load ?? 0) - typical.load) * freshness +
			sentSinceReport / (state?.limit ?? 1);
		const waitMs = typical.waitMs + ((state?.waitMs ?? 0) - typical.waitMs) * freshness;
		const queueMs = waitMs + Math.max(0, load - busyLoad) * holdMs;
		const riskMs = Math.max(0, holdMs - goalMs * safeGoalShare);
		return riskMs + holdMs * safeWeight + queueMs;
	}

	/** Removes endpoints that are not listed. */
	retainOnly(nodes: ReadonlySet<string>): void {
		for (const node of this.nodes.keys()) {
			if (!nodes.has(node)) {
				this.nodes.delete(node);
			}
		}
	}

	private noteTypical(job: string, load: number, waitMs: number, heldMs: number | undefined): void {
		// One report says little of the others, so a job starts with idle endpoints.
		const typical = this.typicalByJob.get(job) ?? {load: 0, waitMs: 0, holdMs: heldMs ?? 0};
		if (this.typicalByJob.size < maxJobs) {
			this.typicalByJob.set(job, typical);
		}

		typical.load += (load - typical.load) * typicalSmoothingFactor;
		typical.waitMs += (waitMs - typical.waitMs) * typicalSmoothingFactor;
		typical.holdMs += ((heldMs ?? typical.holdMs) - typical.holdMs) * typicalSmoothingFactor;
	}

	private isSilent({inFlight, silentSinceMs, holdMsByJob}: EndpointState, nowMs: number): boolean {
		if (inFlight === 0) {
			return false;
		}

		const usualMs = Math.max(0, ...holdMsByJob.values());
		return nowMs - silentSinceMs > silenceMs + usualMs * silenceFactor;
	}

	private of(node: string): EndpointState {
		const known = this.nodes.get(node);
		if (known) {
			return known;
		}

		const fresh: EndpointState = {
			inFlight: 0,
			load: 0,
			waitMs: 0,
			reportedMs: Number.NEGATIVE_INFINITY,
			silentSinceMs: 0,
			inFlightAtReport: 0,
			limit: 1,
			failures: 0,
			ejections: 0,
			avoidedUntilMs: 0,
			holdMsByJob: new Map(),
		};
		this.nodes.set(node, fresh);
		return fresh;
	}
}

const nothingTypical: Typical = {load: 0, waitMs: 0, holdMs: 0};
