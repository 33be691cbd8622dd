import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.mjs';
import {runCase} from '../lib-2/run-case.mjs';
import {sendRequest} from '../lib-2/send-request.mjs';
import {startBed} from '../lib-2/start-bed.mjs';
import {startEndpoint} from '../lib-2/start-endpoint.mjs';

const drainMs = 2000;
const beforeMs = 5000;
const servesOnMs = 6000;
const intervalMs = 10;
const workMs = 250;

/** Sends the report of another writer, whose service no configuration names. */
const sendForeignReport = async ({ip, zone, ports, name}) =>
	new Promise(resolve => {
		const report = {
			address: `${ip}:${ports.inbound}`,
			info: {service: 'other-service', version: 'v1', zone, slots: 8},
			status: {state: 'ready', seq: 1, coldLeftMs: 0},
			born: Date.now(),
		};
		const req = http.request({
			host: ip,
			port: ports.control,
			method: 'PUT',
			path: `/-/instances/other-${name}`,
			headers: {'content-type': 'application/json'},
			agent: false,
		});
		req.on('response', res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.on('error', () => {
			resolve(undefined);
		});
		req.end(JSON.stringify(report));
	});

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(1, [
			{name: 'pay', service: 'pay', isIdempotent: false, timeoutMs: 5000},
			{name: 'web', service: 'web', isIdempotent: true, timeoutMs: 5000},
		]),
		machines: [
			{name: 'pay-1', zone: 'zone-1', service: 'pay'},
			{name: 'pay-2', zone: 'zone-1', service: 'pay'},
			{name: 'web-1', zone: 'zone-1', service: 'web'},
		],
		note,
	});
	addCleanup(bed.stop);
	const endpoints = {};
	for (const machine of Object.values(bed.machines)) {
		const endpoint = await startEndpoint({
			ip: machine.ip,
			port: machine.ports.app,
			id: `i-${machine.name}`,
			service: machine.service,
			zone: machine.zone,
			slots: 24,
			control: machine.control,
			note,
			async work() {
				await sleep(workMs);
				return 'done';
			},
		});
		addCleanup(() => {
			endpoint.stop();
		});
		await endpoint.report();
		endpoints[machine.name] = endpoint;
	}

	await sleep(1500);
	if (hasTrouble) {
		const status = await sendForeignReport(bed.machines['pay-1']);
		note('foreign report', {node: 'pay-1', answer: status});
	}

	const web = bed.machines['web-1'];
	let count = 0;
	const send = async () => {
		count++;
		const id = `pay-${count}`;
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
		note('gets', {request: id, status: answer.status, end: answer.end});
	};

	const sendFor = async ms => {
		const endMs = performance.now() + ms;
		const sent = [];
		while (performance.now() < endMs) {
			sent.push(send());
			await sleep(intervalMs);
		}

		return Promise.all(sent);
	};

	await sendFor(beforeMs);
	const leaving = endpoints['pay-1'];
	const confirmedMs = await leaving.drain();
	if (confirmedMs === undefined) {
		throw new Error('the node did not confirm that the endpoint drains');
	}

	const draining = sendFor(servesOnMs + 1000);
	await sleep(servesOnMs);
	await leaving.leave();
	await draining;
	const late = leaving.runs.filter(run => run.arrivedMs - confirmedMs > drainMs);
	return late.length > 0
		? [
				`${late.length} requests reach ${leaving.id} later than ${drainMs} ms after its node has confirmed that it drains, the last one ${Math.round(late.at(-1).arrivedMs - confirmedMs)} ms after`,
			]
		: [];
});
