import type * as api from '@medlarsaddle/api';
import type {Clock} from '@medlarsaddle/core';
import type {Policy} from '@medlarsaddle/policy';
import type {ObjectStore} from '@medlarsaddle/records';
import {type OutcomeHistory, computeBurn, outcomeClasses, burnWindows} from '@medlarsaddle/report';
import {readReport} from './read-report.js';

type Deps = {
	readonly clock: Clock;
	readonly store: ObjectStore | undefined;
	readonly policy: Policy;
	readonly node: string;
	/** Data centres that the node knows of. */
	readonly dataCentres: readonly string[];
	/** Outcomes that this node alone counted. */
	readonly own: OutcomeHistory;
	readonly rollUpMs: number;
};

const defaultGoodShare = 0.99;
const maxCauses = 5;

/** Number of roll-ups that a data centre may miss before it is reported as missing. */
const maxMissedRollUps = 3;
const noValue = -1;

/**
 * Builds the report on error budget burn from what every data centre has rolled up or, while the
 * platform does not answer, from what this node counted itself.
 *
 * @example
 * const report = await buildReport(deps, signal);
 */
export const buildReport = async (deps: Deps, signal: AbortSignal): Promise<api.GetReportReply> => {
	const {clock, store, dataCentres: knownDataCentres, node, own, rollUpMs} = deps;
	const stored = store && (await readReport({clock, store, knownDataCentres}, signal));
	const dataCentres =
		stored ?? knownDataCentres.map(name => ({name, histories: [], ageMs: undefined}));
	const missingAfterMs = rollUpMs * maxMissedRollUps;
	const histories = stored ? stored.flatMap(dataCentre => dataCentre.histories) : [own];
	return {
		windowsS: burnWindows.map(({seconds}) => seconds),
		ranks: computeBurn(histories, objectivesIn(deps.policy), clock.now())
			.map(row => rankReportOf(row))
			.toSorted((a, b) => maxBurnRate(b) - maxBurnRate(a)),
		scope: stored ? 'all data centres' : `node ${node} alone, since the platform does not answer`,
		isPartial: stored === undefined,
		dataCentres: dataCentres.map(({name, ageMs}) => ({
			name,
			ageMs: ageMs ?? noValue,
			missing: ageMs === undefined || ageMs > missingAfterMs,
		})),
		rollUpMs,
		atMs: Math.floor(clock.now()),
	};
};

type BurnRow = ReturnType<typeof computeBurn>[number];

const objectivesIn = (policy: Policy) => (service: string, rank: string) => {
	const found = policy.objectivesOf(service).find(other => other.rank === rank);
	return {goodShare: found?.goodShare ?? defaultGoodShare, withinMs: found?.withinMs ?? 0};
};

const maxBurnRate = ({burn: rates}: api.RankReport): number => Math.max(...rates);

const rankReportOf = (row: BurnRow): api.RankReport => ({
	service: row.service,
	rank: row.rank,
	good: row.counts.get(outcomeClasses.good),
	late: row.counts.get(outcomeClasses.late),
	refused: row.counts.get(outcomeClasses.refused),
	failed: row.counts.get(outcomeClasses.failed),
	unknown: row.counts.get(outcomeClasses.unknown),
	goodShareObjective: row.objective.goodShare,
	withinMs: row.objective.withinMs,
	burn: [...row.rates],
	alert: row.alert,
	budgetLeft: row.budgetLeft,
	spentInMs: row.spentInMs === undefined ? noValue : Math.floor(row.spentInMs),
	causes: row.causes.slice(0, maxCauses).map(([cause, count]) => ({cause, count})),
	p50Ms: row.p50Ms,
	p99Ms: row.p99Ms,
	points: row.points.map(point => ({...point})),
});
