import {type Clock, Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {Client, buildConnector} from 'undici';
import type {Answer} from '@medlarsaddle/wire';
import {AnswerReader} from './answer-reader.js';
import {AnswerTooLarge} from './answer-too-large.js';

type Opts = {
	readonly origin: string;
	readonly clock: Clock;
	readonly maxBodyBytes: number;
	readonly connectTimeoutMs: number;
};

type Send = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
};

/** How a call failed, and whether any of its bytes may have reached the upstream. */
type Failure = {
	readonly fault: Fault;
	readonly mayHaveRun: boolean;
	/** Whether the connection was closed by the upstream. */
	readonly wasClosed: boolean;
};

const notSentCodes = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	'EHOSTUNREACH',
	'ENETUNREACH',
]);
const closedCodes = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);

/**
 * One connection to the upstream, which sends one call at a time.
 *
 * @example
 * const answer = await connection.send({method: 'GET', path: '/', headers: [], body, signal});
 */
export class Connection {
	/** Creates a connection that opens with its first call. */
	static create(opts: Opts): Connection {
		return new Connection(opts);
	}

	/** Time of the last answer on this connection, in monotonic milliseconds. */
	lastAnswerMs = Number.NEGATIVE_INFINITY;
	private readonly client: Client;
	/** Whether the connection ended with an error, which truncates an answer without a length. */
	private wasReset = false;

	private constructor(private readonly opts: Opts) {
		const connect = buildConnector({timeout: opts.connectTimeoutMs});
		this.client = new Client(opts.origin, {
			pipelining: 1,
			bodyTimeout: 0,
			headersTimeout: 0,
			keepAliveTimeout: 60_000,
			connect: (options, callback) => {
				connect(options, (...opened) => {
					this.wasReset = false;
					const [, socket] = opened;
					socket?.once('error', () => {
						this.wasReset = true;
					});
					// A reset right after data is reported as an end, but leaves no remote address.
					socket?.once('end', () => {
						this.wasReset ||= socket.remoteAddress === undefined;
					});
					callback(...opened);
				});
			},
		});
	}

	/** Whether the connection can still be used. */
	get isUsable(): boolean {
		return !this.client.destroyed && !this.client.closed;
	}

	/** Sends a call and reads the complete answer. A truncated answer is a failure. */
	async send({method, path, headers, body, signal}: Send): Promise<Result<Answer, Failure>> {
		return new Promise(resolve => {
			const reader = new AnswerReader(this.opts.maxBodyBytes, signal, result => {
				if (result.isOk() && this.wasReset && !isFramed(result.value)) {
					resolve(err(this.failureOf(new Error('the answer was cut short'), signal)));
				} else if (result.isOk()) {
					this.lastAnswerMs = this.opts.clock.monotonic();
					resolve(ok(result.value));
				} else {
					resolve(err(this.failureOf(result.error, signal)));
				}
			});
			const options = {
				method,
				path,
				headers: headers as string[],
				body: body.length > 0 ? body : undefined,
			};
			try {
				this.client.dispatch(options, reader);
			} catch (error) {
				// `dispatch` throws only before anything was sent.
				const {fault, wasClosed} = this.failureOf(error, signal);
				resolve(err({fault, mayHaveRun: false, wasClosed}));
			}
		});
	}

	/** Closes the connection immediately. */
	destroy(): void {
		void this.client.destroy().catch(() => {});
	}

	private failureOf(error: unknown, signal: AbortSignal): Failure {
		this.destroy();
		if (error instanceof AnswerTooLarge) {
			return {fault: answerTooLarge, mayHaveRun: true, wasClosed: false};
		}

		const code = (error as {code?: string}).code ?? '';
		if (signal.aborted) {
			return {fault: callAborted, mayHaveRun: true, wasClosed: false};
		}

		const fault = Fault.of(
			faultKinds.upstreamFailed,
			`The upstream did not answer (${errorText(error)})`,
			'Look at the upstream on this host',
		);
		return {fault, mayHaveRun: !notSentCodes.has(code), wasClosed: closedCodes.has(code)};
	}
}

/** Whether the end of an answer is marked by its headers and not by the end of the connection. */
const isFramed = ({status, headers}: Answer): boolean =>
	status === 204 ||
	status === 304 ||
	headers.some(
		(name, index) => index % 2 === 0 && /^(content-length|transfer-encoding)$/iv.test(name),
	);

const answerTooLarge = Fault.of(
	faultKinds.tooLarge,
	'The answer is larger than this node passes on',
	'Raise --max-body-bytes or make the answer smaller',
);
const callAborted = Fault.of(
	faultKinds.cancelled,
	'The call was given up before the upstream answered',
	'Send it again with a later deadline if the answer is still wanted',
);
