import {faultKinds} from '@medlarsaddle/core';
import type {Admission} from '@medlarsaddle/control';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import type {CrashWatch} from './crash-watch.js';
import type {InFlight} from './in-flight.js';
import type {InFlightCall} from './in-flight-call.js';
import type {Pool} from './pool.js';
import type {SilenceWatch} from './silence-watch.js';

type Deps = {
	readonly inFlight: InFlight;
	readonly silence: SilenceWatch;
	readonly crashes: CrashWatch;
	readonly admission: Admission;
	readonly pool: Pool;
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
	{inFlight, silence, crashes, admission, pool}: Deps,
	request: CallRequest,
	signal: AbortSignal,
): Promise<Executed> => {
	const connection = await pool.take(!request.idempotent);
	const {token, call} = inFlight.open(request, signal);
	const usualMs = request.idempotent ? admission.usualMs(request.job) : undefined;
	const watch = silence.watch({call, pool, usualMs, signal});
	const answer = await connection.send({
		method: request.method,
		path: request.path,
		headers: [
			...request.headers,
			'medlar-context',
			token,
			'medlar-deadline-ms',
			String(Math.max(0, Math.floor(request.remainingMs))),
		],
		body: request.body,
		signal: watch.signal,
	});
	watch.stop();
	inFlight.close(token);
	pool.giveBack(connection);
	if (answer.isOk()) {
		silence.noteEnded(call);
		admission.leave(request.job, {ownMs: call.ownMs, heldMs: call.heldMs});
		return {call, result: answer.value};
	}

	admission.leave(request.job);
	const {fault, mayHaveRun, wasClosed} = answer.error;
	if (wasClosed) {
		crashes.noteLost(request);
	}

	const isDeadline = signal.aborted || watch.signal.aborted;
	return {
		call,
		result: {
			kind: 'refusal',
			fault: isDeadline ? faultKinds.deadline : fault.kind,
			what: fault.what,
			remedy: fault.remedy,
			run: mayHaveRun ? runStates.unknown : runStates.notRun,
			final: call.acted || undefined,
		},
	};
};
