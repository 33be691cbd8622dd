import type {Endpoint} from '@medlarsaddle/control';
import {CallEnded, type CallOutcome, endReasons} from '@medlarsaddle/wire';
import type {AttemptEvent} from './attempt-event.js';

/** Sends one attempt; reports through `onStalled`, once at most, that it makes no progress. */
type RunAttempt = (
	signal: AbortSignal,
	onStalled: (unspent: number) => void,
) => Promise<CallOutcome>;

type OpenAttempt = {
	readonly ended: Promise<AttemptEvent>;
	stalled: Promise<AttemptEvent> | undefined;
};

/**
 * Attempts of one call that have no outcome yet. An attempt that stalls stays open beside those
 * started after it, because its endpoint may be at work.
 *
 * @example
 * const attempts = OpenAttempts.create(signal);
 * attempts.start(endpoint, async (signal, onStalled) => send(endpoint, signal, onStalled));
 * const event = await attempts.next();
 * attempts.supersede();
 */
export class OpenAttempts {
	/** Creates a set without attempts. All of them end when `signal` aborts. */
	static create(signal: AbortSignal): OpenAttempts {
		return new OpenAttempts(signal);
	}

	private readonly open = new Set<OpenAttempt>();
	private readonly abort = new AbortController();

	private constructor(private readonly signal: AbortSignal) {
		signal.addEventListener('abort', this.onAbort, {once: true});
		if (signal.aborted) {
			this.onAbort();
		}
	}

	/** Number of attempts without an outcome. */
	get size(): number {
		return this.open.size;
	}

	/** Starts an attempt at an endpoint. */
	start(endpoint: Endpoint, run: RunAttempt): void {
		let onStalled: (unspent: number) => void = () => {};
		const stalled = new Promise<AttemptEvent>(resolve => {
			onStalled = unspent => {
				resolve({kind: 'stalled', endpoint, unspent});
			};
		});
		const ended = run(this.abort.signal, onStalled).then((outcome): AttemptEvent => ({
			kind: 'ended',
			endpoint,
			outcome,
		}));
		this.open.add({ended, stalled});
	}

	/** Waits until an attempt ends or stalls. Rejects when an attempt does. */
	async next(): Promise<AttemptEvent> {
		const [attempt, event] = await Promise.race(
			[...this.open].flatMap(each =>
				[each.ended, each.stalled].flatMap(source =>
					source ? [source.then(value => [each, value] as const)] : [],
				),
			),
		);
		if (event.kind === 'stalled') {
			attempt.stalled = undefined;
		} else {
			this.open.delete(attempt);
		}

		return event;
	}

	/** Ends the attempts that are still open, since another one has answered. */
	supersede(): void {
		this.signal.removeEventListener('abort', this.onAbort);
		if (this.open.size > 0) {
			this.abort.abort(CallEnded.of(endReasons.superseded));
		}
	}

	private readonly onAbort = () => {
		this.abort.abort(this.signal.reason);
	};
}
