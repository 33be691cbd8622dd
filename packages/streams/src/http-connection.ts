import {type Socket, connect as openSocket} from 'node:net';
import type {ByteShare} from '@medlarsaddle/control';
import {ByteReader} from './byte-reader.js';
import {ConnectionError} from './connection-error.js';
import type {ConnectionOpts} from './connection-opts.js';
import {headerOf} from './header-of.js';
import type {HttpResponse} from './http-response.js';
import type {OutgoingRequest} from './outgoing-request.js';
import {readResponse} from './read-response.js';
import {writeMessage} from './write-message.js';

const maxHeadBytes = 64 * 1024;

/** How long before the end of the idle time that the server states a connection is given up. */
const keepAliveMarginMs = 1000;

/**
 * One connection to a server, which sends one request at a time.
 *
 * @example
 * const {status} = await connection.send({method: 'GET', path: '/', headers: [], body});
 */
export class HttpConnection {
	/** Creates a connection that opens with its first request. */
	static create(opts: ConnectionOpts): HttpConnection {
		return new HttpConnection(opts);
	}

	/** Time of the last response on this connection, in monotonic milliseconds. */
	lastResponseMs = Number.NEGATIVE_INFINITY;
	private socket: Socket | undefined;
	private reader: ByteReader | undefined;
	private isSending = false;
	/** What the response that is being read holds of the budget. */
	private held: ByteShare | undefined;
	private isClosed = false;
	private isAborted = false;
	private receivedBefore = 0;
	private usableUntilMs = Number.POSITIVE_INFINITY;

	private constructor(private readonly opts: ConnectionOpts) {}

	/** Bytes received since the start of the request that is in flight, or else of the last one. */
	get receivedBytes(): number {
		return (this.reader?.receivedBytes ?? 0) - this.receivedBefore;
	}

	/** Whether another request can be sent on the connection. */
	get isUsable(): boolean {
		return !this.isClosed && this.opts.clock.monotonic() < this.usableUntilMs;
	}

	/**
	 * Opens the connection, unless it is open. A caller that has to decide at the last moment whether to
	 * send its request waits here before it decides.
	 *
	 * @throws ConnectionError when it cannot be opened.
	 */
	async open(): Promise<void> {
		try {
			await this.connect();
		} catch (error) {
			const {isAborted} = this;
			const ending = this.reader?.ending;
			this.destroy();
			throw new ConnectionError(error, {isSent: false, isAborted, receivedBytes: 0, ending});
		}
	}

	/**
	 * Sends a request and reads the complete response.
	 *
	 * @throws ConnectionError when there is none, or it is truncated or malformed.
	 */
	async send({method, path, headers, body}: OutgoingRequest): Promise<HttpResponse> {
		this.isSending = true;
		const held = this.opts.budget?.open();
		this.held = held;
		this.receivedBefore = this.reader?.receivedBytes ?? 0;
		let isSent = false;
		try {
			const {socket, reader} = await this.connect();
			isSent = true;
			const hasBody = body.length > 0 || !bodilessMethods.has(method);
			const lengthHeader = hasBody ? ['content-length', String(body.length)] : [];
			const hostHeader =
				headerOf(headers, 'host') === undefined ? ['host', this.opts.origin.slice(scheme)] : [];
			const allHeaders = [...hostHeader, ...headers, ...lengthHeader];
			writeMessage(socket, `${method} ${path} HTTP/1.1`, allHeaders, body);
			const {maxBodyBytes} = this.opts;
			const {response, keepsAlive} = await readResponse(reader, {
				method,
				maxHeadBytes,
				maxBodyBytes,
				reserve: held && (async bytes => held.reserve(bytes)),
			});
			this.lastResponseMs = this.opts.clock.monotonic();
			this.setIdleTime(response.headers);
			// Bytes after the response belong to no request; the next one would take them for its own.
			if (!keepsAlive || reader.bufferedBytes > 0 || reader.ending !== undefined) {
				this.destroy();
			}

			return response;
		} catch (error) {
			const {isAborted, receivedBytes} = this;
			const ending = this.reader?.ending;
			this.destroy();
			throw new ConnectionError(error, {isSent, isAborted, receivedBytes, ending});
		} finally {
			this.isSending = false;
			held?.close();
		}
	}

	/** Gives up the request in flight, which then fails, and closes the connection. */
	abort(): void {
		this.isAborted = true;
		this.destroy();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.isClosed = true;
		this.reader?.stop();
		this.held?.close();
		this.socket?.destroy();
	}

	private async connect(): Promise<{socket: Socket; reader: ByteReader}> {
		if (this.isClosed) {
			throw new Error('the connection is closed');
		}

		if (this.socket && this.reader) {
			return {socket: this.socket, reader: this.reader};
		}

		const {hostname, port} = new URL(this.opts.origin);
		const socket = openSocket({host: hostname, port: Number(port), noDelay: true});
		const reader = ByteReader.over(socket);
		this.socket = socket;
		this.reader = reader;
		// Bytes that arrive between two requests are the response to none.
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
				: this.lastResponseMs + Number(seconds) * 1000 - keepAliveMarginMs;
	}
}

const scheme = 'http://'.length;

/** Methods whose requests have no length when they have no body. */
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

const connected = async (
	socket: Socket,
	{clock, connectTimeoutMs}: ConnectionOpts,
): Promise<void> =>
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
