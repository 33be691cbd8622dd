import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.mjs';
import {runCase} from '../lib-2/run-case.mjs';
import {sendRequest} from '../lib-2/send-request.mjs';
import {startBed} from '../lib-2/start-bed.mjs';
import {startEndpoint} from '../lib-2/start-endpoint.mjs';

const graceMs = 6000;
/** Requests sent sooner after the SIGTERM may be at work until the end. */
const excusedMs = 3000;
const beforeMs = 4000;
const workMs = 1000;
const intervalMs = 50;

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(1, [
			{name: 'pay', service: 'pay', isIdempotent: false, timeoutMs: 5000},
			{name: 'web', service: 'web', isIdempotent: true, timeoutMs: 5000},
		]),
		machines: [
			{name: 'pay-1', zone: 'zone-1', service: 'pay'},
			{name: 'pay-2', zone: 'zone-1', service: 'pay'},
			{name: 'web-1', zone: 'zone-2', service: 'web'},
		],
		note,
	});
	addCleanup(bed.stop);
	const started = new Set();
	for (const machine of Object.values(bed.machines)) {
		const endpoint = await startEndpoint({
			ip: machine.ip,
			port: machine.ports.app,
			id: `i-${machine.name}`,
			service: machine.service,
			zone: machine.zone,
			slots: 48,
			control: machine.control,
			note,
			async work({id}) {
				started.add(id);
				await sleep(workMs);
				return 'paid';
			},
		});
		addCleanup(() => {
			endpoint.stop();
		});
		await endpoint.report();
	}

	await sleep(1500);
	const web = bed.machines['web-1'];
	let stopMs = Number.POSITIVE_INFINITY;
	const send = async id => {
		const sentMs = performance.now();
		note('sends', {request: id, at: web.name});
		const answer = await sendRequest({
			ip: web.ip,
			port: web.ports.outbound,
			id,
			method: 'POST',
			target: `/pay/${id}`,
			host: 'shop.example',
			deadlineMs: 5000,
		});
		const afterStopMs = Math.round(sentMs - stopMs);
		note('gets', {request: id, status: answer.status, end: answer.end, sent: afterStopMs});
		return {...answer, id, afterStopMs};
	};

	const runClients = async () => {
		const sent = [];
		const endMs = performance.now() + beforeMs + graceMs;
		while (performance.now() < endMs) {
			sent.push(send(`pay-${sent.length}`));
			await sleep(intervalMs);
		}

		return Promise.all(sent);
	};

	const running = runClients();
	await sleep(beforeMs);
	if (hasTrouble) {
		stopMs = performance.now();
		note('SIGTERM', {node: web.name});
		web.node.signal('SIGTERM');
	}

	await sleep(graceMs);
	if (hasTrouble) {
		note('SIGKILL', {node: web.name, hasExited: web.node.exitMs !== undefined});
		web.node.signal('SIGKILL');
	}

	const answers = await running;
	const lost = answers.filter(
		({id, afterStopMs, status, isConnected}) =>
			afterStopMs > excusedMs && isConnected && status === undefined && started.has(id),
	);
	return lost.length > 0
		? [
				`${lost.length} payments, the first one sent ${lost[0].afterStopMs} ms after the SIGTERM, ran, and their connections ended without an answer`,
			]
		: [];
});
