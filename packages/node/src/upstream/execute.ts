import {type Clock, type Fault, type Log, events, faultKinds} from '@medlarsaddle/core';
import type {Admission} from '@medlarsaddle/control';
import {
	type CallOutcome,
	type CallRequest,
	type Refusal,
	endReasons,
	runStates,
} from '@medlarsaddle/wire';
import {err} from 'neverthrow';
import type {CrashDetector} from './crash-detector.js';
import type {InFlightCalls} from './in-flight-calls.js';
import type {InFlightCall} from './in-flight-call.js';
import type {ConnectionPool} from './connection-pool.js';
import type {SilenceDetector} from './silence-detector.js';
import {proxyFaults} from './proxy-faults.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

type Deps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly inFlight: InFlightCalls;
	readonly silenceDetector: SilenceDetector;
	readonly crashDetector: CrashDetector;
	readonly admission: Admission;
	readonly pool: ConnectionPool;
	readonly protocol: UpstreamProtocol;
	/** Instance ID that the upstream announced. */
	readonly instance: string;
	/** Why a call may not be sent now, though it was admitted; asked once nothing delays it any more. */
	readonly faultOf: (call: InFlightCall) => Fault | undefined;
	/** Called when another instance answers at the address of the upstream. */
	readonly onReplaced: () => void;
	/** Takes the retries that a call returns when it stalls; undefined when nobody would use them. */
	readonly onStalled: ((unspent: number) => void) | undefined;
};

type Executed = {
	readonly call: InFlightCall;
	readonly result: CallOutcome['result'];
};

/** A call of which nothing was sent. */
type Unsent = {
	readonly fault: Fault;
};

/**
 * Runs an admitted call on the upstream and releases its permit. What allowed the call may have changed
 * while it waited for a connection, so that is asked again before its first byte is sent.
 *
 * @example
 * const executed = await execute(deps, request, signal);
 */
export const execute = async (
	deps: Deps,
	request: CallRequest,
	signal: AbortSignal,
): Promise<Executed | Unsent> => {
	const {inFlight, silenceDetector, crashDetector, admission, pool, protocol, instance} = deps;
	const {clock, log, onStalled} = deps;
	const deadlineMs = clock.monotonic() + request.remainingMs;
	const connection = await pool.acquire(!request.idempotent);
	const timeLeft = () => deadlineMs - clock.monotonic();
	const {token, call} = inFlight.open({...request, remainingMs: timeLeft()}, signal);
	const isWatched = request.idempotent && onStalled !== undefined;
	const watch = silenceDetector.watch({
		call,
		pool,
		baselineMs: isWatched ? admission.baselineMs(request.job) : undefined,
		signal,
		abort() {
			connection.abort();
		},
		onStalled(sign) {
			log(events.callStalled, {
				request: request.rootId,
				service: request.service,
				sign,
				receivedBytes: connection.receivedBytes,
				...timesOf(call),
			});
			onStalled?.(call.allowance.takeAll());
		},
	});
	const opened = await connection.open();
	const fault = opened.isOk() ? deps.faultOf(call) : undefined;
	if (fault) {
		watch.stop();
		inFlight.close(token);
		pool.release(connection);
		admission.release(request.job);
		return {fault};
	}

	const sent = {...request, remainingMs: timeLeft()};
	const answer = opened.isErr()
		? err(opened.error)
		: await connection.send({
				method: request.method,
				path: request.path,
				headers: protocol.headersFor({request: sent, instance, context: token}),
				body: request.body,
			});
	watch.stop();
	inFlight.close(token);
	if (answer.isOk()) {
		const reply = protocol.read(answer.value, request);
		if (reply.kind === 'answer') {
			pool.release(connection);
			silenceDetector.noteEnded(call);
			admission.release(request.job, {ownMs: call.ownMs, heldMs: call.heldMs});
			return {call, result: reply.answer};
		}

		admission.release(request.job);
		if (reply.kind === 'foreign') {
			// Later bytes on this connection could be mistaken for the answer to another call.
			pool.drop(connection);
			return {call, result: refusal(proxyFaults.mismatchedAnswer, runStates.unknown)};
		}

		pool.release(connection);
		if (reply.isOtherInstance) {
			deps.onReplaced();
		}

		return {call, result: refusal(proxyFaults.rejected, runStates.notRun)};
	}

	pool.release(connection);
	admission.release(request.job);
	const {fault: failure, mayHaveRun, wasClosed, receivedBytes, ending} = answer.error;
	const reason = watch.endReason();
	log(events.callFailed, {
		request: request.rootId,
		service: request.service,
		reason,
		ending,
		receivedBytes,
		error: failure.what,
		...timesOf(call),
	});
	const isLate = reason === endReasons.deadline;
	if (wasClosed) {
		crashDetector.noteLost(request);
	}

	return {
		call,
		result: {
			kind: 'refusal',
			fault: isLate ? faultKinds.deadlineExceeded : failure.kind,
			what: failure.what,
			remedy: failure.remedy,
			run: mayHaveRun ? runStates.unknown : runStates.notRun,
			final: call.hasSideEffect || undefined,
		},
	};
};

const timesOf = ({heldMs, startMs, deadlineMs}: InFlightCall) => ({
	tookMs: Math.round(heldMs),
	leftMs: Math.round(deadlineMs - startMs - heldMs),
});

const refusal = (fault: Fault, run: Refusal['run']): Refusal => ({
	kind: 'refusal',
	fault: fault.kind,
	what: fault.what,
	remedy: fault.remedy,
	run,
});
