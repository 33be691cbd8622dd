import type {GetReportReply, RankReport} from '@medlarsaddle/api';
import {renderChart} from './render-chart.js';
import {reportTexts} from './report-texts.js';

/** Rows with charts of their own; the report lists the highest burn rates first. */
const maxCharts = 20;

/**
 * Renders the report as one HTML page with charts that loads nothing from the network.
 *
 * @example
 * await writeFile('report.html', renderReportPage(report));
 */
export const renderReportPage = (report: GetReportReply): string => `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body {font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 76em; color: #222}
table {border-collapse: collapse; width: 100%}
th, td {border-bottom: 1px solid #ccc; padding: .3em .6em; text-align: left}
td.number {text-align: right}
tr.fast {background: #fdd}
tr.slow {background: #fec}
p.missing {background: #fdd; padding: .5em; font-weight: bold}
</style>
</head>
<body>
<h1>Service-level burn</h1>
${reportTexts.coverage(report).map(paragraph).join('\n')}
${report.ranks.length === 0 ? '<p>No requests were counted.</p>' : tableOf(report)}
${report.ranks
	.slice(0, maxCharts)
	.map(row => sectionOf(row, report.windowsS))
	.join('\n')}
</body>
</html>
`;

const paragraph = (line: string): string =>
	`<p${line.startsWith('MISSING') ? ' class="missing"' : ''}>${escapeHtml(line)}</p>`;

const tableOf = ({ranks, windowsS}: GetReportReply): string => {
	const head = [
		'service',
		'rank',
		'good',
		'late',
		'refused',
		'failed',
		'unknown',
		'p50 ms',
		'p99 ms',
		'objective',
		...windowsS.map(seconds => `burn ${reportTexts.window(seconds)}`),
		'budget',
		'largest cause',
	];
	return `<table>
<thead><tr>${head.map(name => `<th>${name}</th>`).join('')}</tr></thead>
<tbody>
${ranks.map(row => rowOf(row)).join('\n')}
</tbody>
</table>`;
};

const rowOf = (row: RankReport): string => {
	const numbers = [row.good, row.late, row.refused, row.failed, row.unknown, row.p50Ms, row.p99Ms];
	return `<tr class="${escapeHtml(row.alert)}">${[
		textCell(row.service),
		textCell(row.rank),
		...numbers.map(value => numberCell(String(Math.round(value)))),
		textCell(reportTexts.objective(row)),
		...row.burn.map(rate => numberCell(rate.toFixed(1))),
		textCell(reportTexts.budget(row)),
		textCell(reportTexts.cause(row)),
	].join('')}</tr>`;
};

const textCell = (text: string): string => `<td>${escapeHtml(text)}</td>`;

const numberCell = (text: string): string => `<td class="number">${text}</td>`;

const sectionOf = (row: RankReport, windowsS: readonly number[]): string =>
	`<h2>${escapeHtml(`${row.service}, ${row.rank}`)}</h2>
${renderChart(goodShareOption(row))}
${renderChart(burnOption(row, windowsS))}
${row.causes.length === 0 ? '' : renderChart(causesOption(row))}`;

const goodShareOption = ({points, goodShareObjective}: RankReport) => ({
	title: {text: 'Good requests by hour, in 100', textStyle: {fontSize: 13}},
	xAxis: {type: 'time' as const},
	yAxis: {type: 'value' as const, max: 100, scale: true},
	series: [
		{
			type: 'line' as const,
			data: points.map(({atMs, good, total}) => [atMs, total === 0 ? 100 : (good / total) * 100]),
			markLine: {
				symbol: 'none',
				data: [{yAxis: goodShareObjective * 100, name: 'objective'}],
				label: {formatter: 'objective'},
			},
		},
	],
});

const burnOption = ({burn}: RankReport, windowsS: readonly number[]) => ({
	title: {text: 'Burn rate by window; 1 spends the budget exactly', textStyle: {fontSize: 13}},
	xAxis: {type: 'category' as const, data: windowsS.map(seconds => reportTexts.window(seconds))},
	yAxis: {type: 'value' as const, min: 0},
	series: [
		{
			type: 'bar' as const,
			data: [...burn],
			markLine: {symbol: 'none', data: [{yAxis: 1}], label: {formatter: '1'}},
		},
	],
});

const causesOption = ({causes}: RankReport) => ({
	title: {text: 'Largest causes over the last hour', textStyle: {fontSize: 13}},
	grid: {left: 320},
	xAxis: {type: 'value' as const},
	yAxis: {type: 'category' as const, inverse: true, data: causes.map(({cause}) => cause)},
	series: [{type: 'bar' as const, data: causes.map(({count}) => count)}],
});

const escapeHtml = (text: string): string =>
	text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;');
