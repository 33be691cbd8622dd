import type {GetReportReply, RankReport} from '@medlarsaddle/api';

const minuteS = 60;
const hourS = 3600;

/** Texts of a report, shared by the terminal and the HTML page. */
export const reportTexts = {
	/** Length of a burn window, such as `5 min`. */
	window: (seconds: number): string =>
		seconds < hourS ? `${seconds / minuteS} min` : `${seconds / hourS} h`,

	/** A duration, rounded to whole seconds, minutes or hours. */
	duration(ms: number): string {
		const seconds = Math.round(ms / 1000);
		if (seconds < minuteS) {
			return `${seconds} s`;
		}

		return seconds < hourS
			? `${Math.round(seconds / minuteS)} min`
			: `${Math.round(seconds / hourS)} h`;
	},

	/** Objective of a rank, such as `99.9% in 2000 ms`. */
	objective: ({goodShareObjective, withinMs}: RankReport): string =>
		`${Number((goodShareObjective * 100).toFixed(3))}%${withinMs > 0 ? ` in ${withinMs} ms` : ''}`,

	/** Remaining share of the error budget, and when it will be spent at the current rate. */
	budget({budgetLeft, spentInMs}: RankReport): string {
		if (budgetLeft <= 0) {
			return 'spent';
		}

		const left = `${Math.round(budgetLeft * 100)}%`;
		return spentInMs < 0 ? left : `${left}, spent in ${reportTexts.duration(spentInMs)}`;
	},

	/** Largest cause, with its count. */
	cause({causes: [first]}: RankReport): string {
		return first ? `${first.cause} (${first.count})` : '';
	},

	/** Scope of the report and the data centres missing from it, one line each. */
	coverage({scope, dataCentres, rollUpMs, isPartial, atMs}: GetReportReply): string[] {
		const missing = dataCentres.filter(dataCentre => dataCentre.missing);
		return [
			`${scope}, at ${new Date(atMs).toISOString()}`,
			...missing.map(({name, ageMs}) =>
				ageMs < 0
					? `MISSING: ${name} has never reported`
					: `MISSING: ${name}, last heard ${reportTexts.duration(ageMs)} ago; what happened there since is not counted`,
			),
			isPartial
				? 'Only what this host counted since it started is shown'
				: `A host that fails loses at most what it counted in the last ${reportTexts.duration(rollUpMs)}`,
		];
	},
} as const;
