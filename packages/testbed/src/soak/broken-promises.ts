import {bodyOf} from './body-of.js';
import type {SoakRecord} from './soak-record.js';
import type {Sent} from './sent.js';

/** Bound on work that reaches an upstream after its leaving was confirmed, in milliseconds: `drainMs` of the platform. */
const drainMs = 2000;

/** Requests sent so long after a planned stop may find the node closed, in milliseconds: its notice. */
const noticeMs = 1000;

/** How long nothing may have been harmed before a planned stop is judged: `stableWindowMs` of the platform. */
const calmMs = 3000;

/** How long a planned stop may take, in milliseconds: `graceS` of the platform. */
const graceMs = 6000;

/** Statuses which say that the request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

type Check = (record: SoakRecord) => string[];

/**
 * The promises that a record shows to be broken, a line each; none when all were kept.
 *
 * @example
 * for (const line of brokenPromises(record)) {
 * 	console.log(line);
 * }
 */
export const brokenPromises = (record: SoakRecord): string[] =>
	checks.flatMap(check => check(record));

const runsOf = ({runs}: SoakRecord): Map<string, number> => {
	const counts = new Map<string, number>();
	for (const {id} of runs) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
};

const runAtMostOnce: Check = record => {
	const counts = runsOf(record);
	return record.sent
		.filter(({id, isIdempotent}) => !isIdempotent && (counts.get(id) ?? 0) > 1)
		.map(({id}) => `${id} ran ${counts.get(id)} times although it may run once only`);
};

const refusalsAreTrue: Check = record => {
	const counts = runsOf(record);
	return record.sent
		.filter(({id, status}) => notRunStatuses.has(status ?? 0) && counts.has(id))
		.map(({id, status}) => `${id} ran although it was answered ${status}`);
};

const answersAreWhole: Check = ({sent}) =>
	sent
		.filter(({status}) => status === 200)
		.filter(
			({id, answer}) =>
				answer?.id !== id || answer.seal === undefined || answer.body !== bodyOf(id),
		)
		.map(
			({id, answer}) => `${id} got an answer that is not its own or not whole: ${describe(answer)}`,
		);

const describe = (answer: Sent['answer']): string =>
	`id ${answer?.id}, seal ${answer?.seal}, ${answer?.body.length} bytes`;

const nothingIsInvented: Check = ({sent, runs}) => {
	const sentById = new Map(sent.map(request => [request.id, request]));
	return runs
		.filter(({id, target, body}) => {
			const request = sentById.get(id);
			return request?.target !== target || request.body !== body;
		})
		.map(({id, target}) => `${id} ran as ${target}, which nobody sent`);
};

const leaversGetNoWork: Check = ({drains, runs}) =>
	drains.flatMap(({instance, confirmedMs}) =>
		runs
			.filter(run => run.instance === instance && run.atMs > confirmedMs + drainMs)
			.map(
				({id, atMs}) =>
					`${id} reached ${instance} ${Math.round(atMs - confirmedMs)} ms after its leaving was confirmed`,
			),
	);

/** Each version adds a prefix and drops that of the version before. */
const configurationNeverGoesBack: Check = ({sent, versions}) => {
	const versionOf = ({target}: Sent) => versions.get(`/${target.split('/')[1]}/`);
	const served = sent.filter(request => request.status === 200 && versionOf(request));
	return served.flatMap(late => {
		const newer = served.find(
			early =>
				early.host === late.host &&
				early.life === late.life &&
				early.endMs < late.sentMs &&
				versionOf(early)! > versionOf(late)!,
		);
		return newer
			? [
					`${late.id} ran by version ${versionOf(late)} after ${newer.id} had run by version ${versionOf(newer)}`,
				]
			: [];
	});
};

const plannedStopsCutNothing: Check = ({stops, sent, harm}) =>
	stops
		.filter(
			({atMs}) => !harm.some(({fromMs, toMs}) => fromMs < atMs + graceMs && toMs > atMs - calmMs),
		)
		.flatMap(({host, life, atMs}) =>
			sent
				.filter(
					request =>
						request.host === host &&
						request.life === life &&
						request.sentMs < atMs + noticeMs &&
						request.endMs > atMs &&
						request.status === undefined &&
						!request.gaveUp,
				)
				.map(({id, error}) => `${id} was cut by the planned stop of ${host}: ${error}`),
		);

const checks: readonly Check[] = [
	runAtMostOnce,
	refusalsAreTrue,
	answersAreWhole,
	nothingIsInvented,
	leaversGetNoWork,
	configurationNeverGoesBack,
	plannedStopsCutNothing,
];
