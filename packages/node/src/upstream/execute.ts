import {type Fault, type Log, events, faultKinds} from '@medlarsaddle/core';
import type {Admission} from '@medlarsaddle/control';
import {
	type CallOutcome,
	type CallRequest,
	type Refusal,
	endReasons,
	runStates,
} from '@medlarsaddle/wire';
import type {CrashDetector} from './crash-detector.js';
import type {InFlightCalls} from './in-flight-calls.js';
import type {InFlightCall} from './in-flight-call.js';
import type {ConnectionPool} from './connection-pool.js';
import type {SilenceDetector} from './silence-detector.js';
import {proxyFaults} from './proxy-faults.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

type Deps = {
	readonly log: Log;
	readonly inFlight: InFlightCalls;
	readonly silenceDetector: SilenceDetector;
	readonly crashDetector: CrashDetector;
	readonly admission: Admission;
	readonly pool: ConnectionPool;
	readonly protocol: UpstreamProtocol;
	/** Instance ID that the upstream announced. */
	readonly instance: string;
	/** Called when another instance answers at the address of the upstream. */
	readonly onReplaced: () => void;
};

type Executed = {
	readonly call: InFlightCall;
	readonly result: CallOutcome['result'];
};

/**
 * Runs an admitted call on the upstream and releases its permit.
 *
 * @example
 * const {call, result} = await execute(deps, request, signal);
 */
export const execute = async (
	deps: Deps,
	request: CallRequest,
	signal: AbortSignal,
): Promise<Executed> => {
	const {inFlight, silenceDetector, crashDetector, admission, pool, protocol, instance} = deps;
	const connection = await pool.acquire(!request.idempotent);
	const {token, call} = inFlight.open(request, signal);
	const baselineMs = request.idempotent ? admission.baselineMs(request.job) : undefined;
	const watch = silenceDetector.watch({
		call,
		pool,
		baselineMs,
		signal,
		abort() {
			connection.abort();
		},
	});
	const answer = await connection.send({
		method: request.method,
		path: request.path,
		headers: protocol.headersFor({request, instance, context: token}),
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
	const {fault, mayHaveRun, wasClosed, receivedBytes, ending} = answer.error;
	const reason = watch.endReason();
	deps.log(events.callFailed, {
		request: request.rootId,
		service: request.service,
		reason: reason ?? (pool.isDestroyed ? endReasons.withdrawn : undefined),
		ending,
		receivedBytes,
		error: fault.what,
		tookMs: Math.round(call.heldMs),
		leftMs: Math.round(call.deadlineMs - call.startMs - call.heldMs),
	});
	if (wasClosed) {
		crashDetector.noteLost(request);
	}

	return {
		call,
		result: {
			kind: 'refusal',
			fault: reason === undefined ? fault.kind : faultKinds.deadlineExceeded,
			what: fault.what,
			remedy: fault.remedy,
			run: mayHaveRun ? runStates.unknown : runStates.notRun,
			final: call.hasSideEffect || undefined,
		},
	};
};

const refusal = (fault: Fault, run: Refusal['run']): Refusal => ({
	kind: 'refusal',
	fault: fault.kind,
	what: fault.what,
	remedy: fault.remedy,
	run,
});
