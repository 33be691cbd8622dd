import type {Clock} from '@medlarsaddle/core';
import type {CallRequest} from '@medlarsaddle/wire';
import {InFlightCall} from './in-flight-call.js';

/**
 * Calls that the upstream is running, by the context token that it copies to its downstream calls.
 *
 * @example
 * const {token, call} = inFlight.open(request, signal);
 */
export class InFlightCalls {
	/** Creates an empty table. Tokens have a `prefix`, so those of an earlier process never match. */
	static create(clock: Clock, prefix: string): InFlightCalls {
		return new InFlightCalls(clock, prefix);
	}

	private readonly calls = new Map<string, InFlightCall>();
	private sequence = 0;

	private constructor(
		private readonly clock: Clock,
		private readonly prefix: string,
	) {}

	/** Number of running calls. */
	get size(): number {
		return this.calls.size;
	}

	/** All running calls. */
	get all(): readonly InFlightCall[] {
		return [...this.calls.values()];
	}

	/** Adds a call and returns its context token. */
	open(
		request: CallRequest,
		signal: AbortSignal,
	): {readonly token: string; readonly call: InFlightCall} {
		const token = `${this.prefix}.${(this.sequence++).toString(36)}`;
		const call = InFlightCall.open(request, signal, this.clock);
		this.calls.set(token, call);
		return {token, call};
	}

	/** Returns the call of a token while it is running. */
	find(token: string): InFlightCall | undefined {
		return this.calls.get(token);
	}

	/** Removes a call that ended. */
	close(token: string): void {
		this.calls.delete(token);
	}
}
