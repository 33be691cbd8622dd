import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GetReportReply} from '@medlarsaddle/api';
import {renderReportPage} from '../src/report/render-report-page.js';

const atMs = 1_800_000_000_000;
const hourMs = 3_600_000;

const report: GetReportReply = {
	windowsS: [300, 3600, 21_600, 259_200],
	ranks: [
		{
			service: 'payment',
			rank: 'critical',
			good: 900,
			late: 2,
			refused: 30,
			failed: 1,
			unknown: 3,
			goodShareObjective: 0.999,
			withinMs: 2000,
			burn: [20, 15, 3, 1.2],
			alert: 'fast',
			budgetLeft: 0.4,
			spentInMs: hourMs,
			causes: [{cause: 'overloaded at <reservation>', count: 30}],
			p50Ms: 30,
			p99Ms: 900,
			points: [1, 2, 3].map(hour => ({atMs: atMs + hour * hourMs, good: 90 + hour, total: 100})),
		},
	],
	scope: 'all data centres',
	dataCentres: [{name: 'bud3', ageMs: 90_000, missing: true}],
	rollUpMs: 15_000,
	isPartial: false,
	atMs,
};

test('the page loads no external files, embeds its charts and names missing data centres', () => {
	const page = renderReportPage(report);
	const addresses = [...page.matchAll(/https?:\/\/[^"'\s<>]+/gv)].map(([address]) => address);
	assert.ok(addresses.every(address => address.startsWith('http://www.w3.org/')));
	assert.doesNotMatch(page, /<script|<link|<img|<iframe|@import|url\((?!#)/v);
	assert.equal([...page.matchAll(/<svg/gv)].length, 3);
	assert.match(page, /MISSING: bud3, last heard 2 min ago/v);
});

test('names from the policy are escaped in the page', () => {
	const page = renderReportPage(report);
	assert.doesNotMatch(page, /<reservation>/v);
	assert.match(page, /&lt;reservation&gt;/v);
});

test('a report without requests still renders a page', () => {
	assert.match(renderReportPage({...report, ranks: []}), /No requests were counted/v);
});
