import type {GetReportReply, RankReport} from '@medlarsaddle/api';

const minuteS = 60;
const hourS = 3600;

/** How the parts of a report are worded, in the terminal and on the page alike. */
export const texts = {
	/** Name of a window, such as `5 min`. */
	window: (seconds: number): string =>
		seconds < hourS ? `${seconds / minuteS} min` : `${seconds / hourS} h`,

	/** A length of time in its largest unit. */
	duration(ms: number): string {
		const seconds = Math.round(ms / 1000);
		if (seconds < minuteS) {
			return `${seconds} s`;
		}

		return seconds < hourS
			? `${Math.round(seconds / minuteS)} min`
			: `${Math.round(seconds / hourS)} h`;
	},

	/** The objective of a rank. */
	objective: ({goodShareObjective, withinMs}: RankReport): string =>
		`${Number((goodShareObjective * 100).toFixed(3))}%${withinMs > 0 ? ` in ${withinMs} ms` : ''}`,

	/** What is left of the error budget, and for how long it lasts. */
	budget({budgetLeft, spentInMs}: RankReport): string {
		if (budgetLeft <= 0) {
			return 'spent';
		}

		const left = `${Math.round(budgetLeft * 100)}%`;
		return spentInMs < 0 ? left : `${left}, spent in ${texts.duration(spentInMs)}`;
	},

	/** The largest cause. */
	cause({causes: [first]}: RankReport): string {
		return first ? `${first.cause} (${first.count})` : '';
	},

	/** What the report covers and what it leaves out, one line each. */
	coverage({scope, dataCentres, rollUpMs, isPartial, atMs}: GetReportReply): string[] {
		const missing = dataCentres.filter(place => place.missing);
		return [
			`${scope}, at ${new Date(atMs).toISOString()}`,
			...missing.map(({name, ageMs}) =>
				ageMs < 0
					? `MISSING: ${name} has never reported`
					: `MISSING: ${name}, last heard ${texts.duration(ageMs)} ago; what happened there since is not counted`,
			),
			isPartial
				? 'Only what this host counted since it started is shown'
				: `A host that fails loses at most what it counted in the last ${texts.duration(rollUpMs)}`,
		];
	},
} as const;
