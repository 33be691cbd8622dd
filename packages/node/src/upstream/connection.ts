import {type Socket, connect} from 'node:net';
import {type Clock, Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {
	ByteReader,
	MessageError,
	formatMessage,
	headerOf,
	messageFaults,
	readResponse,
} from '@medlarsaddle/streams';
import {type Result, err, ok} from 'neverthrow';
import type {Answer} from '@medlarsaddle/wire';

type Opts = {
	/** URL of the upstream, without a path. */
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
};

/** How a call failed, and whether any of its bytes may have reached the upstream. */
type Failure = {
	readonly fault: Fault;
	readonly mayHaveRun: boolean;
	/** Whether the connection was closed by the upstream. */
	readonly wasClosed: boolean;
};

const maxHeadBytes = 64 * 1024;

/** How long before the end of the idle time that the upstream states a connection is given up. */
const keepAliveMarginMs = 1000;

/**
 * One connection to the upstream, which sends one call at a time.
 *
 * @example
 * const answer = await connection.send({method: 'GET', path: '/', headers: [], body});
 */
export class Connection {
	/** Creates a connection that opens with its first call. */
	static create(opts: Opts): Connection {
		return new Connection(opts);
	}

	/** Time of the last answer on this connection, in monotonic milliseconds. */
	lastAnswerMs = Number.NEGATIVE_INFINITY;
	private socket: Socket | undefined;
	private reader: ByteReader | undefined;
	private isSending = false;
	private isClosed = false;
	private isAborted = false;
	private usableUntilMs = Number.POSITIVE_INFINITY;

	private constructor(private readonly opts: Opts) {}

	/** Whether another call can be sent on the connection. */
	get isUsable(): boolean {
		return !this.isClosed && this.opts.clock.monotonic() < this.usableUntilMs;
	}

	/** Sends a call and reads the complete answer. A truncated answer is a failure. */
	async send({method, path, headers, body}: Send): Promise<Result<Answer, Failure>> {
		this.isSending = true;
		let isSent = false;
		try {
			const {socket, reader} = await this.open();
			isSent = true;
			const hasBody = body.length > 0 || !bodilessMethods.has(method);
			const lengthHeader = hasBody ? ['content-length', String(body.length)] : [];
			const hostHeader =
				headerOf(headers, 'host') === undefined ? ['host', this.opts.origin.slice(scheme)] : [];
			const allHeaders = [...hostHeader, ...headers, ...lengthHeader];
			socket.write(formatMessage(`${method} ${path} HTTP/1.1`, allHeaders, body));
			const {maxBodyBytes} = this.opts;
			const {response, keepsAlive} = await readResponse(reader, {
				method,
				maxHeadBytes,
				maxBodyBytes,
			});
			this.lastAnswerMs = this.opts.clock.monotonic();
			this.setIdleTime(response.headers);
			// Bytes after the answer belong to no call; the next one would take them for its own.
			if (!keepsAlive || reader.bufferedBytes > 0 || reader.isEnded) {
				this.destroy();
			}

			return ok({kind: 'answer', ...response});
		} catch (error) {
			this.destroy();
			return err(this.isAborted ? abortedFailure(isSent) : failureOf(error, isSent));
		} finally {
			this.isSending = false;
		}
	}

	/** Gives up the call in flight, which then fails, and closes the connection. */
	abort(): void {
		this.isAborted = true;
		this.destroy();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.isClosed = true;
		this.reader?.stop();
		this.socket?.destroy();
	}

	private async open(): Promise<{socket: Socket; reader: ByteReader}> {
		if (this.isClosed) {
			throw new Error('the connection is closed');
		}

		if (this.socket && this.reader) {
			return {socket: this.socket, reader: this.reader};
		}

		const {hostname, port} = new URL(this.opts.origin);
		const socket = connect({host: hostname, port: Number(port), noDelay: true});
		const reader = ByteReader.over(socket);
		this.socket = socket;
		this.reader = reader;
		// Bytes that arrive between two calls are the answer to none.
		socket.on('data', () => {
			if (!this.isSending) {
				this.destroy();
			}
		});
		socket.on('end', () => {
			this.isClosed = true;
			if (!this.isSending) {
				socket.destroy();
			}
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
		await connected(socket, this.opts);
		return {socket, reader};
	}

	private setIdleTime(headers: readonly string[]): void {
		const seconds = /timeout=(\d{1,6})/iv.exec(headerOf(headers, 'keep-alive') ?? '')?.[1];
		this.usableUntilMs =
			seconds === undefined
				? Number.POSITIVE_INFINITY
				: this.lastAnswerMs + Number(seconds) * 1000 - keepAliveMarginMs;
	}
}

const scheme = 'http://'.length;

/** Methods whose requests have no length when they have no body. */
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

const connected = async (socket: Socket, {clock, connectTimeoutMs}: Opts): Promise<void> =>
	new Promise((resolve, reject) => {
		const cancel = clock.after(connectTimeoutMs, () => {
			socket.destroy(new Error('the connection could not be opened in time'));
		});
		let error: Error | undefined;
		socket.once('error', cause => {
			error = cause;
		});
		socket.once('connect', () => {
			cancel();
			resolve();
		});
		socket.once('close', () => {
			cancel();
			reject(error ?? new Error('the connection was closed before it was open'));
		});
	});

const abortedFailure = (isSent: boolean): Failure => ({
	fault: callAborted,
	mayHaveRun: isSent,
	wasClosed: false,
});

const failureOf = (error: unknown, isSent: boolean): Failure => {
	const kind = error instanceof MessageError ? error.kind : undefined;
	if (kind === messageFaults.tooLarge) {
		return {fault: answerTooLarge, mayHaveRun: true, wasClosed: false};
	}

	const fault = Fault.of(
		faultKinds.upstreamFailed,
		`The upstream did not answer (${errorText(error)})`,
		'Look at the upstream on this host',
	);
	return {fault, mayHaveRun: isSent, wasClosed: kind === messageFaults.cutShort};
};

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
