import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {IncomingCall} from '../calls/incoming-call.js';
import {headerNames} from './header-names.js';
import {endToEndHeaders} from './end-to-end-headers.js';

type RawRequest = {
	readonly method: string;
	/** Path and query after `/call/`. */
	readonly target: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly isFromUpstream: boolean;
};

const maxNameLength = 256;
const maxDeadlineMs = 120_000;
const callHeaderNames = new Set<string>([
	headerNames.job,
	headerNames.deadline,
	headerNames.rank,
	headerNames.key,
	headerNames.context,
]);

/**
 * Reads a call from an HTTP request. A rejected call has not run.
 *
 * @example
 * const incoming = readIncoming({method: 'GET', target: 'map/pitches', rawHeaders, body, isFromUpstream});
 */
export const readIncoming = (raw: RawRequest): Result<IncomingCall, Fault> => {
	const callHeaders = readCallHeaders(raw.rawHeaders);
	if (callHeaders.isErr()) {
		return err(callHeaders.error);
	}

	const slash = raw.target.indexOf('/');
	const query = raw.target.indexOf('?');
	const end = slash === -1 ? (query === -1 ? raw.target.length : query) : slash;
	const service = decode(raw.target.slice(0, end));
	const rest = raw.target.slice(end);
	const job = decode(callHeaders.value.get(headerNames.job) ?? '');
	if (!service || service.length > maxNameLength) {
		return badInput('The path names no service', 'Send the call to /call/SERVICE/PATH');
	}

	if (job === undefined || job.length > maxNameLength) {
		return badInput(
			`Header ${headerNames.job} is malformed`,
			`Percent-encode the job name as UTF-8, up to ${maxNameLength} characters`,
		);
	}

	const deadline = callHeaders.value.get(headerNames.deadline);
	if (deadline !== undefined && !isValidDeadline(deadline)) {
		return badInput(
			`Header ${headerNames.deadline} is malformed`,
			`Give whole milliseconds from 0 to ${maxDeadlineMs}`,
		);
	}

	return ok({
		service,
		job,
		method: raw.method,
		path: rest.startsWith('/') ? rest : `/${rest}`,
		headers: endToEndHeaders(raw.rawHeaders),
		body: raw.body,
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		rankHint: callHeaders.value.get(headerNames.rank),
		key: callHeaders.value.get(headerNames.key),
		context: raw.isFromUpstream ? callHeaders.value.get(headerNames.context) : undefined,
		isFromUpstream: raw.isFromUpstream,
	});
};

const readCallHeaders = (rawHeaders: readonly string[]): Result<Map<string, string>, Fault> => {
	const callHeaders = new Map<string, string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!callHeaderNames.has(name)) {
			continue;
		}

		if (callHeaders.has(name)) {
			return badInput(`Header ${name} is given twice`, 'Give it once');
		}

		callHeaders.set(name, rawHeaders[index + 1]!);
	}

	return ok(callHeaders);
};

const decode = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

const isValidDeadline = (text: string): boolean =>
	/^\d{1,6}$/.test(text) && Number(text) <= maxDeadlineMs;

const badInput = (what: string, remedy: string): Result<never, Fault> =>
	err(Fault.of(faultKinds.badInput, what, remedy));
