import type {Clock} from '@medlarsaddle/core';
import type {Message} from '@medlarsaddle/wire';

type Reply = Message | undefined;

type Awaited = {
	readonly id: number;
	readonly timeoutMs: number;
	/** Ends the wait. */
	readonly signal?: AbortSignal;
	/** Takes the retries that a call returns when it stalls; undefined when it may not be repeated. */
	readonly onStalled?: ((unspent: number) => void) | undefined;
};

type Pending = {
	readonly settle: (reply: Reply) => void;
	readonly onStalled: Awaited['onStalled'];
};

type Opts = {
	readonly clock: Clock;
	/** Called when a reply is pending while none was before. */
	readonly onFirst: () => void;
};

/**
 * Replies that are pending on one connection, by the ID of their request.
 *
 * @example
 * const reply = replies.wait({id: 7, timeoutMs: 1000});
 * replies.settle(7, message);
 */
export class PendingReplies {
	/** Creates a table without pending replies. */
	static create(opts: Opts): PendingReplies {
		return new PendingReplies(opts);
	}

	private readonly pending = new Map<number, Pending>();
	private firstSinceMs = 0;

	private constructor(private readonly opts: Opts) {}

	/** Number of pending replies. */
	get size(): number {
		return this.pending.size;
	}

	/** Monotonic time since when at least one reply has been pending. */
	get sinceMs(): number {
		return this.firstSinceMs;
	}

	/** Waits for a reply; resolves with undefined when the wait ends without one. */
	async wait({id, timeoutMs, signal, onStalled}: Awaited): Promise<Reply> {
		return new Promise(resolve => {
			const settle = (reply: Reply) => {
				stopTimer();
				signal?.removeEventListener('abort', onAbort);
				this.pending.delete(id);
				resolve(reply);
			};

			const onAbort = () => {
				settle(undefined);
			};

			const stopTimer = this.opts.clock.after(Math.max(0, timeoutMs), onAbort);
			signal?.addEventListener('abort', onAbort, {once: true});
			this.pending.set(id, {settle, onStalled});
			if (this.pending.size === 1) {
				this.firstSinceMs = this.opts.clock.monotonic();
				this.opts.onFirst();
			}
		});
	}

	/** Ends the wait for a reply. One that is no longer pending arrived too late and is dropped. */
	settle(id: number, reply: Reply): void {
		this.pending.get(id)?.settle(reply);
	}

	/** Reports that a call makes no progress and returns retries. */
	stall(id: number, unspent: number): void {
		this.pending.get(id)?.onStalled?.(unspent);
	}

	/** Reports that the connection may be silent, so that no call on it is known to make progress. */
	stallAll(): void {
		for (const {onStalled} of this.pending.values()) {
			onStalled?.(0);
		}
	}

	/** Ends all waits without a reply. */
	settleAll(): void {
		for (const {settle} of this.pending.values()) {
			settle(undefined);
		}
	}
}
