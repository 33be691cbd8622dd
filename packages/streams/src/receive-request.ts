import type {ByteBudget, ByteShare} from '@medlarsaddle/control';
import type {Clock} from '@medlarsaddle/core';
import type {ByteReader} from './byte-reader.js';
import type {HttpRequest} from './http-request.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';
import {readRequest} from './read-request.js';
import type {RequestLimits} from './request-limits.js';

type Opts = {
	readonly clock: Clock;
	readonly limits: RequestLimits;
	/** What the bodies of all requests may hold together. */
	readonly budget: ByteBudget;
	/** Called when the head is complete. */
	readonly onHead: () => void;
	/** Called when the sender waits for permission to send its body. */
	readonly onExpectsContinue: () => void;
};

type Received = {
	readonly req: HttpRequest;
	/** When its head was complete, in monotonic milliseconds. */
	readonly receivedMs: number;
	/** What the body holds of the budget, to be closed after the request. */
	readonly held: ByteShare;
};

/**
 * Reads a request whose first byte has arrived, within the times for its head and its body. A body that
 * hardly arrives while others wait for its room counts as too slow.
 * Undefined when the connection has ended instead.
 *
 * @throws MessageError when the request is malformed, too large, too slow or cut short; with the
 * headers, when they have been read.
 *
 * @example
 * const received = await receiveRequest(reader, {clock, limits, budget, onHead() {}, onExpectsContinue() {}});
 */
export const receiveRequest = async (
	reader: ByteReader,
	{clock, limits, budget, onHead, onExpectsContinue}: Opts,
): Promise<Received | undefined> => {
	let isTooSlow = false;
	const giveUp = () => {
		isTooSlow = true;
		reader.stop();
		held.close();
	};

	const held = budget.open({movedBytes: () => reader.receivedBytes, evict: giveUp});

	let receivedMs = 0;
	let headers: readonly string[] | undefined;
	const tooSlow = () => new MessageError(messageFaults.tooSlow, tooSlowMessage, headers);
	let cancelTimer = clock.after(limits.headMs, giveUp);
	try {
		const req = await readRequest(reader, {
			...limits,
			reserve: async bytes => held.reserve(bytes),
			onHeaders(received) {
				headers = received;
			},
			onHead(expectsContinue) {
				receivedMs = clock.monotonic();
				cancelTimer();
				cancelTimer = clock.after(limits.bodyMs, giveUp);
				onHead();
				if (expectsContinue) {
					onExpectsContinue();
				}
			},
		});
		if (isTooSlow) {
			throw tooSlow();
		}

		if (!req) {
			held.close();
			return undefined;
		}

		held.settle();
		return {req, receivedMs, held};
	} catch (error) {
		held.close();
		if (isTooSlow) {
			throw tooSlow();
		}

		throw error instanceof MessageError
			? new MessageError(error.kind, error.message, headers)
			: error;
	} finally {
		cancelTimer();
	}
};

const tooSlowMessage = 'the request did not arrive in time; send it faster';
