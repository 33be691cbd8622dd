import type {Clock} from '@medlarsaddle/core';
import {Allowance, Cutoffs} from '@medlarsaddle/control';
import type {CallRequest} from '@medlarsaddle/wire';

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
	readonly allowance: Allowance;
	readonly deadlineMs: number;
	/** When it started, in monotonic milliseconds. */
	readonly startMs: number;
	private heard: Cutoffs | undefined;
	private openChildren = 0;
	private childStartMs = 0;
	private childMs = 0;
	private hasActed = false;

	private constructor(
		readonly request: CallRequest,
		/** Aborts when the caller gives up. */
		readonly signal: AbortSignal,
		private readonly clock: Clock,
	) {
		this.allowance = Allowance.of(request.allowance);
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
	childEnded(child: {
		readonly cutoffs: readonly number[];
		readonly unspent: number;
		readonly acted: boolean;
	}): void {
		this.openChildren--;
		if (this.openChildren === 0) {
			this.childMs += this.clock.monotonic() - this.childStartMs;
		}

		this.hasActed ||= child.acted;
		this.allowance.giveBack(child.unspent);
		if (child.cutoffs.length > 0) {
			const cutoffs = Cutoffs.of(child.cutoffs);
			this.heard = this.heard ? this.heard.strictest(cutoffs) : cutoffs;
		}
	}
}
