import {Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {
	ConnectionError,
	type ConnectionOpts,
	HttpConnection,
	type OutgoingRequest,
	messageFaults,
	streamEndings,
} from '@medlarsaddle/streams';
import {type Result, err, ok} from 'neverthrow';
import type {Answer} from '@medlarsaddle/wire';

/** How a call failed, and whether any of its bytes may have reached the upstream. */
type Failure = {
	readonly fault: Fault;
	readonly mayHaveRun: boolean;
	/** Whether the connection was closed by the upstream. */
	readonly wasClosed: boolean;
	/** Bytes of the answer that had come. */
	readonly receivedBytes: number;
	/** How the connection ended; undefined while it was open. */
	readonly ending: ConnectionError['ending'];
};

/**
 * One connection to the upstream, which sends one call at a time.
 *
 * @example
 * const answer = await connection.send({method: 'GET', path: '/', headers: [], body});
 */
export class Connection {
	/** Creates a connection that opens with its first call, if not before. */
	static create(opts: ConnectionOpts): Connection {
		return new Connection(HttpConnection.create(opts));
	}

	private constructor(private readonly http: HttpConnection) {}

	/** Time of the last answer on this connection, in monotonic milliseconds. */
	get lastAnswerMs(): number {
		return this.http.lastResponseMs;
	}

	/** Bytes received since the start of the call that is in flight, or else of the last one. */
	get receivedBytes(): number {
		return this.http.receivedBytes;
	}

	/** Whether another call can be sent on the connection. */
	get isUsable(): boolean {
		return this.http.isUsable;
	}

	/** Opens the connection, unless it is open. */
	async open(): Promise<Result<true, Failure>> {
		try {
			await this.http.open();
			return ok(true);
		} catch (error) {
			return err(failureOf(error));
		}
	}

	/** Sends a call and reads the complete answer. A truncated answer is a failure. */
	async send(call: OutgoingRequest): Promise<Result<Answer, Failure>> {
		try {
			return ok({kind: 'answer', ...(await this.http.send(call))});
		} catch (error) {
			return err(failureOf(error));
		}
	}

	/** Gives up the call in flight, which then fails, and closes the connection. */
	abort(): void {
		this.http.abort();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.http.destroy();
	}
}

const failureOf = (error: unknown): Failure => {
	const {isSent, isAborted, kind, receivedBytes, ending} =
		error instanceof ConnectionError ? error : unknownDetails;
	const received = {receivedBytes, ending};
	if (isAborted) {
		return {fault: callAborted, mayHaveRun: isSent, wasClosed: false, ...received};
	}

	if (kind === messageFaults.tooLarge) {
		return {fault: answerTooLarge, mayHaveRun: true, wasClosed: false, ...received};
	}

	const fault = Fault.of(
		faultKinds.upstreamFailed,
		`The upstream did not answer (${errorText(error)})`,
		'Look at the upstream on this host',
	);
	const wasClosed = kind === messageFaults.cutShort && ending !== streamEndings.stopped;
	return {fault, mayHaveRun: isSent, wasClosed, ...received};
};

const unknownDetails = {
	isSent: true,
	isAborted: false,
	kind: undefined,
	receivedBytes: 0,
	ending: undefined,
} as const;

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
