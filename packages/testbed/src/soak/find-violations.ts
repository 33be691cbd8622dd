import {answerBodyOf} from './answer-body-of.js';
import type {SoakRecord} from './soak-record.js';
import type {SentRequest} from './sent-request.js';

/**
 * Time in which calls may still reach an upstream after its drain was confirmed, in milliseconds:
 * `drainMs` of the platform.
 */
const drainMs = 2000;

/**
 * Time after the start of a planned stop from which requests may find the node closed, in milliseconds:
 * the notice that the node gives.
 */
const noticeMs = 1000;

/**
 * A planned stop is checked only when no fault was active for this time before it, in milliseconds:
 * `stableWindowMs` of the platform.
 */
const stableWindowMs = 3000;

/** Maximum duration of a planned stop, in milliseconds: `graceS` of the platform. */
const graceMs = 6000;

/** Statuses that guarantee that the request was not and will not be executed. */
const notRunStatuses = new Set([408, 421, 429, 503]);

type Check = (record: SoakRecord) => string[];

/**
 * Checks the guarantees of the node against a record. Returns one line for each violation.
 *
 * @example
 * for (const line of findViolations(record)) {
 * 	console.log(line);
 * }
 */
export const findViolations = (record: SoakRecord): string[] =>
	checks.flatMap(check => check(record));

const countRuns = ({runs}: SoakRecord): Map<string, number> => {
	const counts = new Map<string, number>();
	for (const {id} of runs) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
};

const runAtMostOnce: Check = record => {
	const counts = countRuns(record);
	return record.sent
		.filter(({id, isIdempotent}) => !isIdempotent && (counts.get(id) ?? 0) > 1)
		.map(({id}) => `${id} ran ${counts.get(id)} times although it may run once only`);
};

const refusedRequestsNeverRun: Check = record => {
	const counts = countRuns(record);
	return record.sent
		.filter(({id, status}) => notRunStatuses.has(status ?? 0) && counts.has(id))
		.map(({id, status}) => `${id} ran although it was answered ${status}`);
};

const answersAreComplete: Check = ({sent}) =>
	sent
		.filter(({status}) => status === 200)
		.filter(
			({id, answer}) =>
				answer?.id !== id || answer.seal === undefined || answer.body !== answerBodyOf(id),
		)
		.map(
			({id, answer}) =>
				`${id} got an answer that is not its own or not whole: ${describeAnswer(answer)}`,
		);

const describeAnswer = (answer: SentRequest['answer']): string =>
	`id ${answer?.id}, seal ${answer?.seal}, ${answer?.body.length} bytes`;

const runsMatchRequests: Check = ({sent, runs}) => {
	const sentById = new Map(sent.map(request => [request.id, request]));
	return runs
		.filter(({id, target, body}) => {
			const request = sentById.get(id);
			return request?.target !== target || request.body !== body;
		})
		.map(({id, target}) => `${id} ran as ${target}, which nobody sent`);
};

const drainedUpstreamsGetNoCalls: Check = ({drains, runs}) =>
	drains.flatMap(({instance, confirmedMs}) =>
		runs
			.filter(run => run.instance === instance && run.atMs > confirmedMs + drainMs)
			.map(
				({id, atMs}) =>
					`${id} reached ${instance} ${Math.round(atMs - confirmedMs)} ms after its leaving was confirmed`,
			),
	);

/** Each version adds a route prefix and removes that of the previous version. */
const configurationNeverReverts: Check = ({sent, versions}) => {
	const versionOf = ({target}: SentRequest) => versions.get(`/${target.split('/')[1]}/`);
	const served = sent.filter(request => request.status === 200 && versionOf(request));
	return served.flatMap(later => {
		const newer = served.find(
			earlier =>
				earlier.host === later.host &&
				earlier.life === later.life &&
				earlier.endMs < later.sentMs &&
				versionOf(earlier)! > versionOf(later)!,
		);
		return newer
			? [
					`${later.id} ran by version ${versionOf(later)} after ${newer.id} had run by version ${versionOf(newer)}`,
				]
			: [];
	});
};

const answersComeInTime: Check = ({sent, stalls}) =>
	sent
		.filter(
			({host, gaveUp, sentMs, endMs}) =>
				gaveUp &&
				!stalls.some(stall => stall.host === host && stall.fromMs < endMs && stall.toMs > sentMs),
		)
		.map(({id, host}) => `${id} had no answer long after its deadline at ${host}`);

/** Planned stops beside which no fault could interrupt a request. */
const stopsWithoutHarm = ({stops, harm}: SoakRecord): SoakRecord['stops'] =>
	stops.filter(
		({atMs}) =>
			!harm.some(({fromMs, toMs}) => fromMs < atMs + graceMs && toMs > atMs - stableWindowMs),
	);

/** Requests that a stopping process has received. */
const sentTo = ({sent}: SoakRecord, {host, life}: SoakRecord['stops'][number]): SentRequest[] =>
	sent.filter(request => request.host === host && request.life === life);

/** Whether the connection of a request has ended without an answer, and not by its caller. */
const wasCut = ({status, gaveUp, hasLeft}: SentRequest): boolean =>
	status === undefined && !gaveUp && !hasLeft;

const plannedStopsInterruptNothing: Check = record =>
	stopsWithoutHarm(record).flatMap(stop =>
		sentTo(record, stop)
			.filter(
				request =>
					request.sentMs < stop.atMs + noticeMs && request.endMs > stop.atMs && wasCut(request),
			)
			.map(({id, error}) => `${id} was cut by the planned stop of ${stop.host}: ${error}`),
	);

/** Share of the stop time in which a node may end what its upstream is still at work on. */
const finalShare = 1 / 6;

/**
 * After a planned stop a node must not answer a request in place of the upstream that is at work on it,
 * before its time is up.
 */
const plannedStopsReplaceNoAnswer: Check = record =>
	stopsWithoutHarm(record).flatMap(({host, life, atMs}) =>
		sentTo(record, {host, life, atMs})
			.filter(
				request =>
					request.endMs > atMs &&
					request.endMs < atMs + graceMs * (1 - finalShare) &&
					request.endMs < request.sentMs + request.deadlineMs &&
					request.status !== undefined &&
					request.answer?.seal === undefined &&
					record.runs.some(({id}) => id === request.id),
			)
			.map(
				({id, status, sentMs, endMs}) =>
					`${id} was answered ${status} by the stopping node ${host} after ${Math.round(endMs - sentMs)} ms, though it ran`,
			),
	);

/** Time after the start of a stop from which no request may be taken that outlasts it, in milliseconds. */
const excusedMs = 3000;

const lateRequestsOfStopsAreAnswered: Check = record =>
	stopsWithoutHarm(record).flatMap(({host, life, atMs}) =>
		sentTo(record, {host, life, atMs})
			.filter(
				request =>
					request.sentMs > atMs + excusedMs &&
					wasCut(request) &&
					record.runs.some(({id}) => id === request.id),
			)
			.map(
				({id, sentMs, error}) =>
					`${id} was taken by the stopping node ${host} after ${Math.round(sentMs - atMs)} ms, ran and got no answer: ${error}`,
			),
	);

/** A node closes no connection on which its upstream is at work before the time of the call is up. */
const workIsNotCutEarly: Check = ({sent, runs, stops, harm}) => {
	const sentById = new Map(sent.map(request => [request.id, request]));
	return runs.flatMap(({id, instance, atMs, cutMs = Number.POSITIVE_INFINITY}) => {
		const request = sentById.get(id);
		const isCut =
			request !== undefined &&
			cutMs < request.sentMs + request.deadlineMs &&
			request.status !== 200 &&
			!request.gaveUp &&
			!request.hasLeft;
		const isAllowed =
			harm.some(({fromMs, toMs}) => fromMs < cutMs && toMs > atMs - stableWindowMs) ||
			stops.some(
				stop => cutMs > stop.atMs + graceMs * (1 - finalShare) && cutMs < stop.atMs + graceMs,
			);
		return isCut && !isAllowed
			? [`${id} was cut off at ${instance} after ${Math.round(cutMs - atMs)} ms of work`]
			: [];
	});
};

const checks: readonly Check[] = [
	runAtMostOnce,
	refusedRequestsNeverRun,
	answersAreComplete,
	runsMatchRequests,
	drainedUpstreamsGetNoCalls,
	configurationNeverReverts,
	answersComeInTime,
	plannedStopsInterruptNothing,
	plannedStopsReplaceNoAnswer,
	lateRequestsOfStopsAreAnswered,
	workIsNotCutEarly,
];
