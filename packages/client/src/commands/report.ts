import type {GetReportReply, RankReport} from '@medlarsaddle/api';
import {Command} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle report`: service-level burn by service and rank.
 *
 * @example
 * cli.register(Report);
 */
export class Report extends NodeCommand {
	static override paths = [['report']];
	static override usage = Command.Usage({
		description: 'Report service-level burn by service and rank',
		details:
			'A burn rate of 1 spends the error budget exactly over the period of the objective; above 1 it is spent early.',
	});

	override async execute(): Promise<number> {
		return this.ask(
			async operators => operators.call('getReport', {}),
			report => {
				this.printReport(report);
			},
		);
	}

	private printReport({ranks, windowsS, sinceMs, scope}: GetReportReply): void {
		this.print(`${scope}, counted since ${new Date(sinceMs).toISOString()}`);
		this.printTable(
			[
				'service',
				'rank',
				'good',
				'late',
				'refused',
				'failed',
				'unknown',
				'objective',
				...windowsS.map(seconds => `burn ${windowName(seconds)}`),
				'largest cause',
			],
			ranks.map(row => rowOf(row)),
		);
	}
}

const windowName = (seconds: number): string =>
	seconds < 3600 ? `${seconds / 60} min` : `${seconds / 3600} h`;

const rowOf = (row: RankReport): string[] => [
	row.service,
	row.rank,
	String(row.good),
	String(row.late),
	String(row.refused),
	String(row.failed),
	String(row.unknown),
	`${row.goodShareObjective * 100}%${row.withinMs > 0 ? ` in ${row.withinMs} ms` : ''}`,
	...row.burn.map(rate => rate.toFixed(1)),
	row.largestCause,
];
