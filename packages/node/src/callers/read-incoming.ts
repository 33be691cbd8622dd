import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {IncomingCall} from '../calls/incoming-call.js';
import {headerNames} from './header-names.js';
import {passOnHeaders} from './pass-on-headers.js';

type Raw = {
	readonly method: string;
	/** Path and query behind `/call/`. */
	readonly target: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly isFromUpstream: boolean;
};

const maxNameLength = 256;
const maxDeadlineMs = 120_000;
const readNames = new Set<string>([
	headerNames.job,
	headerNames.deadline,
	headerNames.rank,
	headerNames.key,
	headerNames.context,
]);

/**
 * Reads a call from an HTTP request. Nothing has run when it is rejected.
 *
 * @example
 * const incoming = readIncoming({method: 'GET', target: 'map/pitches', rawHeaders, body, isFromUpstream});
 */
export const readIncoming = (raw: Raw): Result<IncomingCall, Fault> => {
	const own = ownHeaders(raw.rawHeaders);
	if (own.isErr()) {
		return err(own.error);
	}

	const slash = raw.target.indexOf('/');
	const query = raw.target.indexOf('?');
	const end = slash === -1 ? (query === -1 ? raw.target.length : query) : slash;
	const service = decode(raw.target.slice(0, end));
	const rest = raw.target.slice(end);
	const job = decode(own.value.get(headerNames.job) ?? '');
	if (!service || service.length > maxNameLength) {
		return bad('The path names no service', 'Send the call to /call/SERVICE/PATH');
	}

	if (job === undefined || job.length > maxNameLength) {
		return bad(
			`Header ${headerNames.job} is malformed`,
			`Percent-encode the job name as UTF-8, up to ${maxNameLength} characters`,
		);
	}

	const deadline = own.value.get(headerNames.deadline);
	if (deadline !== undefined && !isDeadline(deadline)) {
		return bad(
			`Header ${headerNames.deadline} is malformed`,
			`Give whole milliseconds from 0 to ${maxDeadlineMs}`,
		);
	}

	return ok({
		service,
		job,
		method: raw.method,
		path: rest.startsWith('/') ? rest : `/${rest}`,
		headers: passOnHeaders(raw.rawHeaders),
		body: raw.body,
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		rankHint: own.value.get(headerNames.rank),
		key: own.value.get(headerNames.key),
		context: raw.isFromUpstream ? own.value.get(headerNames.context) : undefined,
		isFromUpstream: raw.isFromUpstream,
	});
};

const ownHeaders = (rawHeaders: readonly string[]): Result<Map<string, string>, Fault> => {
	const own = new Map<string, string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!readNames.has(name)) {
			continue;
		}

		if (own.has(name)) {
			return bad(`Header ${name} is given twice`, 'Give it once');
		}

		own.set(name, rawHeaders[index + 1]!);
	}

	return ok(own);
};

const decode = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

const isDeadline = (text: string): boolean =>
	/^\d{1,6}$/.test(text) && Number(text) <= maxDeadlineMs;

const bad = (what: string, remedy: string): Result<never, Fault> =>
	err(Fault.of(faultKinds.badInput, what, remedy));
