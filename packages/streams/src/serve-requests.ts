import {setMaxListeners} from 'node:events';
import type {Socket} from 'node:net';
import {ByteBudget, type ByteShare} from '@medlarsaddle/control';
import type {Clock} from '@medlarsaddle/core';
import {ByteReader} from './byte-reader.js';
import {closeAfterWrites} from './close-after-writes.js';
import {connectionPhases} from './connection-phases.js';
import type {HttpRequest} from './http-request.js';
import type {HttpResponse} from './http-response.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';
import {receiveRequest} from './receive-request.js';
import type {RequestLimits} from './request-limits.js';
import {sendResponse} from './send-response.js';
import {streamEndings} from './stream-endings.js';

type Received = {
	readonly req: HttpRequest;
	/** When the head of the request was complete, in monotonic milliseconds. */
	readonly receivedMs: number;
	/** Aborts when the caller closes the connection. */
	readonly signal: AbortSignal;
};

type Opts = {
	readonly clock: Clock;
	readonly limits: () => RequestLimits;
	/** What all connections may hold together; unlimited by default. */
	readonly budget?: ByteBudget;
	/** Handles a request; its response is sent after those of the requests before it. */
	readonly handle: (received: Received) => Promise<HttpResponse>;
	/** Response to a request that is read while as many as allowed are being handled. */
	readonly refuse: () => HttpResponse;
	/** Response to a request that cannot be read; the connection then closes. */
	readonly reject: (error: MessageError) => HttpResponse;
	/** Whether a connection without unanswered requests is to be closed. */
	readonly isClosing: () => boolean;
	/** Called with what the connection does from now on. */
	readonly onPhase?: (phase: (typeof connectionPhases)[keyof typeof connectionPhases]) => void;
};

/** What a connection holds beside the bytes that are counted. */
const connectionBytes = 20 * 1024;

/** Requests of one connection that are handled at a time. */
const maxRunning = 64;

/** Requests without a response above which no further one is read. */
const maxUnanswered = 256;

/**
 * Task of one connection of a caller: reads its requests, also those sent before earlier ones are
 * answered, and answers them in the order sent. Only a response behind which no other request has
 * been read closes the connection, so that none is passed on and then left without its answer.
 *
 * @example
 * supervisor.start({name, task: serveRequests(opts, socket), restart: restartPolicies.never});
 */
export const serveRequests =
	(
		{
			clock,
			limits,
			budget = ByteBudget.unlimited(clock),
			handle,
			refuse,
			reject,
			isClosing,
			onPhase,
		}: Opts,
		socket: Socket,
	) =>
	async (signal: AbortSignal, ready: () => void): Promise<void> => {
		ready();
		socket.setNoDelay(true);
		const own = budget.open();
		own.add(connectionBytes);
		const unread = budget.open({
			movedBytes: () => reader.receivedBytes,
			evict() {
				reader.stop();
			},
		});
		const reader = ByteReader.over(socket, unread);
		const callerLeft = new AbortController();
		// Each request in progress listens for it.
		setMaxListeners(0, callerLeft.signal);
		let running = 0;
		let unanswered = 0;
		let isBetweenRequests = true;
		let lastAnswer: Promise<void> = Promise.resolve();
		let cancelIdleTimer = () => {};

		const stopWhenIdle = () => {
			if (unanswered === 0 && isBetweenRequests) {
				reader.stop();
			}
		};

		const watchIdleness = () => {
			cancelIdleTimer();
			if (unanswered === 0 && isBetweenRequests) {
				onPhase?.(connectionPhases.idle);
				cancelIdleTimer = clock.after(limits().idleMs, stopWhenIdle);
				if (signal.aborted) {
					stopWhenIdle();
				}
			}
		};

		/** Sends a response once all before it are sent. */
		const answer = async (
			before: Promise<void>,
			responding: HttpResponse | Promise<HttpResponse>,
			isLast: boolean,
		): Promise<void> => {
			const response = await responding;
			const waiting = budget.open();
			waiting.add(response.body.length);
			await before;
			waiting.close();
			const unsent = budget.open({
				movedBytes: () => socket.bytesWritten - socket.writableLength,
				evict() {
					socket.destroy();
				},
			});
			unsent.add(response.body.length);
			try {
				unanswered--;
				if (callerLeft.signal.aborted) {
					return;
				}

				const closes = isLast || (unanswered === 0 && isBetweenRequests && isClosing());
				if (closes) {
					reader.stop();
				}

				await sendResponse({socket, clock, response, closes});
				watchIdleness();
			} finally {
				unsent.close();
			}
		};

		const run = async (
			received: Omit<Received, 'signal'>,
			held: ByteShare,
		): Promise<HttpResponse> => {
			running++;
			try {
				return await handle({...received, signal: callerLeft.signal});
			} finally {
				running--;
				held.close();
			}
		};

		const serveNext = async (): Promise<boolean> => {
			if (unanswered >= maxUnanswered) {
				await lastAnswer;
			}

			isBetweenRequests = true;
			watchIdleness();
			if (!(await reader.skipEmptyLines())) {
				return false;
			}

			if (isClosing()) {
				// Its answer would wait for those before it, and the process may end meanwhile.
				await lastAnswer;
			}

			isBetweenRequests = false;
			cancelIdleTimer();
			if (unanswered === 0) {
				onPhase?.(connectionPhases.head);
			}

			const received = await receiveRequest(reader, {
				clock,
				limits: limits(),
				budget,
				onHead() {
					if (unanswered === 0) {
						onPhase?.(connectionPhases.body);
					}
				},
				onExpectsContinue() {
					if (unanswered === 0) {
						socket.write(continueLine);
					}
				},
			});
			if (!received) {
				return false;
			}

			unanswered++;
			onPhase?.(connectionPhases.serving);
			const {held, ...request} = received;
			const isLast = !request.req.keepsAlive;
			const isRefused = running >= maxRunning;
			if (isRefused) {
				held.close();
			}

			const responding = isRefused ? refuse() : run(request, held);
			isBetweenRequests = true;
			lastAnswer = answer(lastAnswer, responding, isLast);
			return !isLast;
		};

		socket.once('close', () => {
			callerLeft.abort(new Error('The caller closed its connection'));
			own.close();
			unread.close();
		});
		signal.addEventListener('abort', stopWhenIdle, {once: true});
		try {
			let isOpen = true;
			while (isOpen) {
				isOpen = await serveNext();
			}
		} catch (error) {
			if (!(error instanceof MessageError)) {
				throw error;
			}

			if (error.kind !== messageFaults.cutShort) {
				unanswered++;
				lastAnswer = answer(lastAnswer, reject(error), true);
			}
		} finally {
			cancelIdleTimer();
			signal.removeEventListener('abort', stopWhenIdle);
			if (reader.ending !== undefined && reader.ending !== streamEndings.stopped) {
				// A caller that has ended its side no longer waits for answers.
				socket.destroy();
			}

			await lastAnswer;
			closeAfterWrites(socket, clock);
		}
	};

const continueLine = 'HTTP/1.1 100 Continue\r\n\r\n';
