import type {Clock} from '@medlarsaddle/core';
import {RetryAllowance, Cutoffs} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';

/**
 * A call that the upstream is running, and the results of the calls it has made downstream.
 *
 * @example
 * const call = InFlightCall.open(request, signal, clock);
 */
export class InFlightCall {
	/** Creates the record of a call that is about to start. */
	static open(request: CallRequest, signal: AbortSignal, clock: Clock): InFlightCall {
		return new InFlightCall(request, signal, clock);
	}

	/** Retries that are left for this call and its downstream calls. */
	readonly allowance: RetryAllowance;
	readonly deadlineMs: number;
	/** Time when the call started, in monotonic milliseconds. */
	readonly startMs: number;
	private strictestCutoffs: Cutoffs | undefined;
	private openChildren = 0;
	private childStartMs = 0;
	private childMs = 0;
	private hasChildSideEffect = false;
	private slowestChild: CallOutcome['slowest'];
	private cutoffSource: string | undefined;
	private lastRefusal: string | undefined;

	private constructor(
		readonly request: CallRequest,
		/** Aborts when the caller cancels the call. */
		readonly signal: AbortSignal,
		private readonly clock: Clock,
	) {
		this.allowance = RetryAllowance.of(request.allowance);
		this.startMs = clock.monotonic();
		this.deadlineMs = this.startMs + request.remainingMs;
	}

	/** Whether a downstream call ran an action that must not be repeated. */
	get hasSideEffect(): boolean {
		return this.hasChildSideEffect;
	}

	/** Strictest cutoffs that downstream calls reported; undefined when none reported any. */
	get cutoffs(): Cutoffs | undefined {
		return this.strictestCutoffs;
	}

	/** Downstream service that reported the strictest cutoffs; undefined when none reported any. */
	get pressedBy(): string | undefined {
		return this.cutoffSource;
	}

	/** Reason of the most recent refusal of a downstream call; undefined when none was refused. */
	get refusedBelow(): string | undefined {
		return this.lastRefusal;
	}

	/** The slowest service downstream; undefined when no downstream call has ended. */
	get slowestDownstream(): CallOutcome['slowest'] {
		return this.slowestChild;
	}

	/** Time the upstream itself has spent, excluding its downstream calls, in milliseconds. */
	get ownMs(): number {
		return this.heldMs - this.childMs;
	}

	/** Time since the call started, in milliseconds. */
	get heldMs(): number {
		return this.clock.monotonic() - this.startMs;
	}

	/** Records the start of a downstream call. */
	childStarted(): void {
		if (this.openChildren === 0) {
			this.childStartMs = this.clock.monotonic();
		}

		this.openChildren++;
	}

	/** Records the end of a downstream call. Time in which several calls overlap is counted once. */
	childEnded(child: CallOutcome, hasSideEffect: boolean): void {
		this.openChildren--;
		if (this.openChildren === 0) {
			this.childMs += this.clock.monotonic() - this.childStartMs;
		}

		this.hasChildSideEffect ||= hasSideEffect;
		this.allowance.refund(child.unspent);
		if (child.slowest && child.slowest.ms > (this.slowestChild?.ms ?? 0)) {
			this.slowestChild = child.slowest;
		}

		if (child.result.kind === 'refusal') {
			const {fault, by} = child.result;
			this.lastRefusal = by === undefined ? fault : `${fault} at ${by}`;
		}

		if (child.cutoffs.length > 0) {
			const cutoffs = Cutoffs.of(child.cutoffs);
			if (!this.strictestCutoffs || cutoffs.isStricterThan(this.strictestCutoffs)) {
				this.cutoffSource = child.pressedBy;
			}

			this.strictestCutoffs = this.strictestCutoffs
				? this.strictestCutoffs.strictest(cutoffs)
				: cutoffs;
		}
	}
}
