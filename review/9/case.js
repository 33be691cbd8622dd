import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.js';
import {runCase} from '../lib-2/run-case.js';
import {sendRequest} from '../lib-2/send-request.js';
import {startBed} from '../lib-2/start-bed.js';
import {startEndpoint} from '../lib-2/start-endpoint.js';

const graceMs = 6000;
const callMs = 1000;
const requestMs = 5500;
const callBudgetMs = 3000;

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(1, [
			{name: 'permit', service: 'permits', isIdempotent: false, timeoutMs: 10_000},
			{name: 'check', service: 'rounds', isIdempotent: true, timeoutMs: 3000, priority: 0},
			{name: 'web', service: 'web', isIdempotent: true, timeoutMs: 5000},
		]),
		machines: [
			{name: 'permits-1', zone: 'zone-1', service: 'permits'},
			{name: 'rounds-1', zone: 'zone-1', service: 'rounds'},
			{name: 'web-1', zone: 'zone-1', service: 'web'},
		],
		note,
	});
	addCleanup(bed.stop);
	const permits = bed.machines['permits-1'];
	const rounds = bed.machines['rounds-1'];
	const web = bed.machines['web-1'];
	const pending = [];
	let stopMs = Number.POSITIVE_INFINITY;
	const send = async (machine, name, id, deadlineMs) => {
		const sentMs = performance.now();
		note('sends', {request: id, at: machine.name});
		const answer = await sendRequest({
			ip: machine.ip,
			port: machine.ports.outbound,
			id,
			method: name === 'permit' ? 'POST' : 'GET',
			target: `/${name}/${id}`,
			host: 'shop.example',
			deadlineMs,
		});
		note('gets', {request: id, status: answer.status, end: answer.end, ms: answer.tookMs});
		return {...answer, id, sentMs};
	};

	const startOn = async (machine, work) => {
		const endpoint = await startEndpoint({
			ip: machine.ip,
			port: machine.ports.app,
			id: `i-${machine.name}`,
			service: machine.service,
			zone: machine.zone,
			slots: 48,
			control: machine.control,
			note,
			work,
		});
		addCleanup(() => {
			endpoint.stop();
		});
		await endpoint.report();
		return endpoint;
	};

	await startOn(web, async () => 'page');
	const checks = await startOn(rounds, async () => {
		await sleep(callMs);
		return 'checked';
	});
	await startOn(permits, async ({id}) => {
		const endMs = performance.now() + requestMs;
		for (let count = 0; performance.now() < endMs; count++) {
			pending.push(send(permits, 'check', `${id}-call-${count}`, callBudgetMs));
			await sleep(200);
		}

		return 'filed';
	});
	for (
		let attempt = 0;
		(await send(web, 'check', `warm-${attempt}`, 3000)).status !== 200;
		attempt++
	) {
		await sleep(300);
	}

	await send(web, 'permit', 'permit-1', 10_000);
	if (hasTrouble) {
		stopMs = performance.now();
		note('SIGTERM', {node: permits.name});
		permits.node.signal('SIGTERM');
		setTimeout(() => {
			note('SIGKILL', {node: permits.name, exited: permits.node.exitMs !== undefined});
			permits.node.signal('SIGKILL');
		}, graceMs);
	}

	await sleep(900);
	await send(web, 'permit', 'permit-2', 10_000);
	await sleep(2000);
	const reached = new Set(checks.runs.map(({id}) => id));
	const calls = await Promise.all(pending);
	return calls
		.filter(
			({id, sentMs, status}) => sentMs - stopMs > 3000 && status === undefined && reached.has(id),
		)
		.map(
			({id, sentMs, end}) =>
				`${id}, sent ${Math.round(sentMs - stopMs)} ms after the SIGTERM, ran and its connection ended: ${end}`,
		);
});
