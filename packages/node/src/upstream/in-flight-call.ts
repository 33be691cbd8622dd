import type {Clock} from '@medlarsaddle/core';
import {RetryAllowance, Cutoffs} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';

/**
 * A call that the upstream runs now, and what its own calls downstream have done so far.
 *
 * @example
 * const call = InFlightCall.open(request, signal, clock);
 */
export class InFlightCall {
	/** Opens the record of a call that is about to run. */
	static open(request: CallRequest, signal: AbortSignal, clock: Clock): InFlightCall {
		return new InFlightCall(request, signal, clock);
	}

	/** Retries that are left to this call and those below it. */
	readonly allowance: RetryAllowance;
	readonly deadlineMs: number;
	/** When it started, in monotonic milliseconds. */
	readonly startMs: number;
	private heard: Cutoffs | undefined;
	private openChildren = 0;
	private childStartMs = 0;
	private childMs = 0;
	private hasActed = false;
	private slowestChild: CallOutcome['slowest'];
	private presser: string | undefined;
	private refusal: string | undefined;

	private constructor(
		readonly request: CallRequest,
		/** Aborts when the caller gives up. */
		readonly signal: AbortSignal,
		private readonly clock: Clock,
	) {
		this.allowance = RetryAllowance.of(request.allowance);
		this.startMs = clock.monotonic();
		this.deadlineMs = this.startMs + request.remainingMs;
	}

	/** Whether a call below it ran an action that must not be repeated. */
	get acted(): boolean {
		return this.hasActed;
	}

	/** Cutoffs heard from downstream; undefined when it made no calls. */
	get cutoffs(): Cutoffs | undefined {
		return this.heard;
	}

	/** The place downstream whose cutoffs are the strictest heard; undefined when it heard of none. */
	get pressedBy(): string | undefined {
		return this.presser;
	}

	/** Why the last of its calls that was refused got no answer; undefined when none was. */
	get refusedBelow(): string | undefined {
		return this.refusal;
	}

	/** The slowest service of the chains below; undefined when it made no calls that ended. */
	get slowestBelow(): CallOutcome['slowest'] {
		return this.slowestChild;
	}

	/** Time the upstream itself has spent so far, its own calls left out, in milliseconds. */
	get ownMs(): number {
		return this.heldMs - this.childMs;
	}

	/** Time since it was started, in milliseconds. */
	get heldMs(): number {
		return this.clock.monotonic() - this.startMs;
	}

	/** Notes that the upstream made a call of its own. */
	childBegan(): void {
		if (this.openChildren === 0) {
			this.childStartMs = this.clock.monotonic();
		}

		this.openChildren++;
	}

	/** Notes the end of such a call. Calls that overlap are counted once. */
	childEnded(child: CallOutcome, acted: boolean): void {
		this.openChildren--;
		if (this.openChildren === 0) {
			this.childMs += this.clock.monotonic() - this.childStartMs;
		}

		this.hasActed ||= acted;
		this.allowance.refund(child.unspent);
		if (child.slowest && child.slowest.ms > (this.slowestChild?.ms ?? 0)) {
			this.slowestChild = child.slowest;
		}

		if (child.result.kind === 'refusal') {
			const {fault, by} = child.result;
			this.refusal = by === undefined ? fault : `${fault} at ${by}`;
		}

		if (child.cutoffs.length > 0) {
			const cutoffs = Cutoffs.of(child.cutoffs);
			if (!this.heard || cutoffs.isStricterThan(this.heard)) {
				this.presser = child.pressedBy;
			}

			this.heard = this.heard ? this.heard.strictest(cutoffs) : cutoffs;
		}
	}
}
