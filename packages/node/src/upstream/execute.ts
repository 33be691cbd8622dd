import {type Fault, faultKinds} from '@medlarsaddle/core';
import type {Admission} from '@medlarsaddle/control';
import {type CallOutcome, type CallRequest, type Refusal, runStates} from '@medlarsaddle/wire';
import type {CrashWatch} from './crash-watch.js';
import type {InFlight} from './in-flight.js';
import type {InFlightCall} from './in-flight-call.js';
import type {Pool} from './pool.js';
import type {SilenceWatch} from './silence-watch.js';
import {slotFaults} from './slot-faults.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

type Deps = {
	readonly inFlight: InFlight;
	readonly silence: SilenceWatch;
	readonly crashes: CrashWatch;
	readonly admission: Admission;
	readonly pool: Pool;
	readonly protocol: UpstreamProtocol;
	/** The announced instance of the upstream. */
	readonly instance: string;
	/** Called when another instance has the upstream's address. */
	readonly onReplaced: () => void;
};

type Executed = {
	readonly call: InFlightCall;
	readonly result: CallOutcome['result'];
};

/**
 * Runs an admitted call on the upstream and ends its permit.
 *
 * @example
 * const {call, result} = await execute(deps, request, signal);
 */
export const execute = async (
	{inFlight, silence, crashes, admission, pool, protocol, instance, onReplaced}: Deps,
	request: CallRequest,
	signal: AbortSignal,
): Promise<Executed> => {
	const connection = await pool.take(!request.idempotent);
	const {token, call} = inFlight.open(request, signal);
	const usualMs = request.idempotent ? admission.baselineMs(request.job) : undefined;
	const watch = silence.watch({call, pool, usualMs, signal});
	const answer = await connection.send({
		method: request.method,
		path: request.path,
		headers: protocol.headersFor({request, instance, context: token}),
		body: request.body,
		signal: watch.signal,
	});
	watch.stop();
	inFlight.close(token);
	if (answer.isOk()) {
		const reply = protocol.read(answer.value, request);
		if (reply.kind === 'answer') {
			pool.giveBack(connection);
			silence.noteEnded(call);
			admission.release(request.job, {ownMs: call.ownMs, heldMs: call.heldMs});
			return {call, result: reply.answer};
		}

		admission.release(request.job);
		if (reply.kind === 'foreign') {
			// What comes next on this connection cannot be told from an answer to a later call.
			pool.drop(connection);
			return {call, result: refusal(slotFaults.foreignAnswer, runStates.unknown)};
		}

		pool.giveBack(connection);
		if (reply.isOtherInstance) {
			onReplaced();
		}

		return {call, result: refusal(slotFaults.notTaken, runStates.notRun)};
	}

	pool.giveBack(connection);
	admission.release(request.job);
	const {fault, mayHaveRun, wasClosed} = answer.error;
	if (wasClosed) {
		crashes.noteLost(request);
	}

	const isDeadline = signal.aborted || watch.signal.aborted;
	return {
		call,
		result: {
			kind: 'refusal',
			fault: isDeadline ? faultKinds.deadlineExceeded : fault.kind,
			what: fault.what,
			remedy: fault.remedy,
			run: mayHaveRun ? runStates.unknown : runStates.notRun,
			final: call.acted || undefined,
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
