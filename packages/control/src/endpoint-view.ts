import type {Clock} from '@medlarsaddle/core';

type View = {
	/** Calls of this node that are on their way or run there. */
	inFlight: number;
	/** Calls in flight or waiting for each unit of the limit, as last reported. */
	load: number;
	/** Time that a new call would wait, as last reported, in milliseconds. */
	waitMs: number;
	heardMs: number;
	/** When it was last heard, or a call was sent while none waited for it. */
	quietSinceMs: number;
	/** Calls of this node that were in flight when it was heard. */
	inFlightThen: number;
	limit: number;
	failures: number;
	ejections: number;
	avoidUntilMs: number;
	/** Smoothed time that a job takes there, in milliseconds. */
	readonly heldMs: Map<string, number>;
};

type Report = {
	readonly load: number;
	readonly waitMs: number;
	readonly limit: number;
	readonly job: string;
	/** Time from being sent to the answer; undefined when there was no answer. */
	readonly heldMs?: number;
};

/** Reports older than this say nothing of the queue any more. */
const reportMs = 500;
const heldGain = 0.15;

/** Load from which on a call is likely to wait. */
const busyLoad = 0.85;

/**
 * An endpoint is left out once calls have waited for this long, and for this many times their usual
 * time, while nothing at all was heard of it: its host or the way to it may be gone.
 */
const quietMs = 300;
const quietFactor = 2;

/** Share of the goal within which the time of a call endangers nothing, and what it still counts. */
const safeShare = 0.5;
const safeWeight = 0.1;
const failuresToEject = 4;
const firstEjectionMs = 500;
const maxEjectionMs = 8000;
const maxJobs = 200;

/**
 * What this node knows of each endpoint: the load and the wait reported on its answers, the time its
 * jobs take, and its failures.
 *
 * @example
 * view.began('dc1-a');
 * view.heard('dc1-a', {load: 0.4, waitMs: 0, limit: 22, job: 'PAY', heldMs: 110});
 * view.costMs('dc1-a', 'PAY', 300);
 */
export class EndpointView {
	/** Creates a view that knows no endpoint. */
	static create(clock: Clock): EndpointView {
		return new EndpointView(clock);
	}

	private readonly nodes = new Map<string, View>();

	private constructor(private readonly clock: Clock) {}

	/** Notes that a call was sent. */
	began(node: string): void {
		const view = this.of(node);
		if (view.inFlight === 0) {
			view.quietSinceMs = this.clock.monotonic();
		}

		view.inFlight++;
	}

	/** Notes that a call ended. */
	ended(node: string): void {
		const view = this.of(node);
		view.inFlight = Math.max(0, view.inFlight - 1);
	}

	/** Takes in the state that an endpoint reported with an answer or a refusal. */
	heard(node: string, {load, waitMs, limit, job, heldMs}: Report): void {
		const view = this.of(node);
		view.load = load;
		view.waitMs = waitMs;
		view.limit = Math.max(1, limit);
		view.heardMs = this.clock.monotonic();
		view.quietSinceMs = view.heardMs;
		view.inFlightThen = view.inFlight;
		if (heldMs !== undefined && (view.heldMs.has(job) || view.heldMs.size < maxJobs)) {
			const known = view.heldMs.get(job) ?? heldMs;
			view.heldMs.set(job, known + (heldMs - known) * heldGain);
		}
	}

	/** Notes an answer that shows the endpoint to work. */
	succeeded(node: string): void {
		const view = this.of(node);
		view.failures = 0;
		view.ejections = 0;
	}

	/** Notes a failure; several in a row eject the endpoint for a time that doubles. */
	failed(node: string): void {
		const view = this.of(node);
		view.failures++;
		if (view.failures >= failuresToEject) {
			view.failures = 0;
			this.avoid(node, Math.min(maxEjectionMs, firstEjectionMs * 2 ** view.ejections++));
		}
	}

	/** Leaves an endpoint out for a while. */
	avoid(node: string, ms: number): void {
		const view = this.of(node);
		view.avoidUntilMs = Math.max(view.avoidUntilMs, this.clock.monotonic() + ms);
	}

	/** Whether the endpoint is left out now. */
	isAvoided(node: string): boolean {
		const view = this.nodes.get(node);
		const nowMs = this.clock.monotonic();
		return view !== undefined && (view.avoidUntilMs > nowMs || this.isQuiet(view, nowMs));
	}

	/**
	 * What a call of a job would cost there, in milliseconds: its wait, and its time as far as that
	 * endangers the goal. Time well within the goal counts little.
	 */
	costMs(node: string, job: string, goalMs: number): number {
		const view = this.nodes.get(node);
		if (!view) {
			return 0;
		}

		const heldMs = view.heldMs.get(job) ?? 0;
		const isFresh = this.clock.monotonic() - view.heardMs < reportMs;
		const sentSince = Math.max(0, view.inFlight - view.inFlightThen);
		const load = (isFresh ? view.load : 0) + sentSince / view.limit;
		const queueMs = (isFresh ? view.waitMs : 0) + Math.max(0, load - busyLoad) * heldMs;
		const riskMs = Math.max(0, heldMs - goalMs * safeShare);
		return riskMs + heldMs * safeWeight + queueMs;
	}

	/** Forgets endpoints that are not listed. */
	keepOnly(nodes: ReadonlySet<string>): void {
		for (const node of this.nodes.keys()) {
			if (!nodes.has(node)) {
				this.nodes.delete(node);
			}
		}
	}

	private isQuiet({inFlight, quietSinceMs, heldMs}: View, nowMs: number): boolean {
		const usualMs = Math.max(0, ...heldMs.values());
		return inFlight > 0 && nowMs - quietSinceMs > quietMs + usualMs * quietFactor;
	}

	private of(node: string): View {
		const known = this.nodes.get(node);
		if (known) {
			return known;
		}

		const fresh: View = {
			inFlight: 0,
			load: 0,
			waitMs: 0,
			heardMs: Number.NEGATIVE_INFINITY,
			quietSinceMs: 0,
			inFlightThen: 0,
			limit: 1,
			failures: 0,
			ejections: 0,
			avoidUntilMs: 0,
			heldMs: new Map(),
		};
		this.nodes.set(node, fresh);
		return fresh;
	}
}
