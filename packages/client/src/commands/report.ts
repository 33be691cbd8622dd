import {writeFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import type {GetReportReply, RankReport} from '@medlarsaddle/api';
import {Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {Command, Option} from 'clipanion';
import pc from 'picocolors';
import {exitCodes} from '../exit-codes.js';
import {reportTexts} from '../report/report-texts.js';
import {NodeCommand} from './node-command.js';

const watchPeriodMs = 5000;

/**
 * `medlarsaddle report`: prints the service-level burn by service and rank.
 *
 * @example
 * cli.register(Report);
 */
export class Report extends NodeCommand {
	static override paths = [['report']];
	static override usage = Command.Usage({
		description: 'Report service-level burn by service and rank',
		details:
			'A burn rate of 1 spends the error budget exactly over the period of the objective; above 1 it is spent early. Data centres that have stopped reporting are named as missing.',
		examples: [
			['Print the report', 'medlarsaddle report'],
			['Write it as a page with plots', 'medlarsaddle report --html burn.html'],
			['Print it again every five seconds', 'medlarsaddle report --watch'],
		],
	});

	html = Option.String('--html', {description: 'Write a page with plots to this file'});
	watch = Option.Boolean('--watch', false, {description: 'Print again every 5 s until stopped'});

	override async execute(): Promise<number> {
		if (!this.watch) {
			return this.printOnce();
		}

		const abort = new AbortController();
		process.once('SIGINT', () => {
			abort.abort();
		});
		let code: number = exitCodes.ok;
		while (!abort.signal.aborted) {
			code = await this.printOnce();
			await delay(watchPeriodMs, undefined, {signal: abort.signal}).catch(() => {});
		}

		return code;
	}

	private async printOnce(): Promise<number> {
		let reply: GetReportReply | undefined;
		const code = await this.runQuery(
			async client => client.call('getReport', {}),
			report => {
				this.printReport(report);
			},
			report => {
				reply = report;
			},
		);
		return this.html === undefined || !reply ? code : this.writePage(this.html, reply);
	}

	private async writePage(path: string, report: GetReportReply): Promise<number> {
		// Loaded on demand, because the other commands need no charts.
		const {renderReportPage} = await import('../report/render-report-page.js');
		try {
			await writeFile(path, renderReportPage(report));
			return exitCodes.ok;
		} catch (error) {
			return this.fail(
				Fault.of(
					faultKinds.badInput,
					`The page cannot be written (${errorText(error)})`,
					'Name a file in a directory that exists and may be written to',
				),
			);
		}
	}

	private printReport(report: GetReportReply): void {
		const {red} = this.colors;
		for (const line of reportTexts.coverage(report)) {
			this.print(line.startsWith('MISSING') ? red(line) : line);
		}

		if (report.ranks.length === 0) {
			this.print('No requests were counted');
			return;
		}

		this.printTable(
			[
				'service',
				'rank',
				'good',
				'late',
				'refused',
				'failed',
				'unknown',
				'p99 ms',
				'objective',
				...report.windowsS.map(seconds => `burn ${reportTexts.window(seconds)}`),
				'alert',
				'budget',
				'largest cause',
			],
			report.ranks.map(row => this.rowOf(row)),
		);
	}

	private rowOf(row: RankReport): string[] {
		const {red, yellow} = this.colors;
		const colorize = {fast: red, slow: yellow}[row.alert] ?? String;
		return [
			row.service,
			row.rank,
			String(row.good),
			String(row.late),
			String(row.refused),
			String(row.failed),
			String(row.unknown),
			String(Math.round(row.p99Ms)),
			reportTexts.objective(row),
			...row.burn.map(rate => (rate >= 1 ? colorize(rate.toFixed(1)) : rate.toFixed(1))),
			colorize(row.alert),
			reportTexts.budget(row),
			reportTexts.cause(row),
		];
	}

	private get colors() {
		const {stdout, colorDepth} = this.context;
		const isTerminal = 'isTTY' in stdout && stdout.isTTY === true;
		return pc.createColors(isTerminal && colorDepth > 1);
	}
}
