import {endReasons} from './end-reasons.js';

type EndReason = (typeof endReasons)[keyof typeof endReasons];

/**
 * Reason of an abort signal that ends a call.
 *
 * @example
 * abort.abort(CallEnded.of(endReasons.linkLost));
 * CallEnded.reasonOf(abort.signal); // 'link-lost'
 */
export class CallEnded extends Error {
	/** Creates the reason of a signal. */
	static of(reason: EndReason): CallEnded {
		return new CallEnded(reason);
	}

	/** Why a signal has aborted; any other reason than a `CallEnded` is that the caller has left. */
	static reasonOf({reason}: AbortSignal): EndReason {
		return reason instanceof CallEnded ? reason.endReason : endReasons.callerLeft;
	}

	private constructor(readonly endReason: EndReason) {
		super(`The call was ended (${endReason})`);
	}
}
