import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.mjs';
import {runCase} from '../lib-2/run-case.mjs';
import {sendRequest} from '../lib-2/send-request.mjs';
import {startBed} from '../lib-2/start-bed.mjs';
import {startEndpoint} from '../lib-2/start-endpoint.mjs';
import {startRelay} from '../lib-2/start-relay.mjs';

const drainMs = 2000;
const stableWindowMs = 3000;
const workMs = 300;
const burst = 24;

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(1, [
			{name: 'pay', service: 'pay', isIdempotent: false, timeoutMs: 5000},
			{name: 'web', service: 'web', isIdempotent: true, timeoutMs: 5000},
		]),
		machines: [
			{name: 'pay-1', zone: 'zone-1', service: 'pay'},
			{name: 'web-1', zone: 'zone-1', service: 'web'},
		],
		note,
	});
	addCleanup(bed.stop);
	const pay = bed.machines['pay-1'];
	const web = bed.machines['web-1'];
	const startOn = async (machine, id, port) => {
		const endpoint = await startEndpoint({
			ip: machine.ip,
			port,
			id,
			service: machine.service,
			zone: machine.zone,
			slots: 96,
			control: machine.control,
			reportedAddress: `${machine.ip}:${machine.ports.app}`,
			note,
			async work() {
				await sleep(workMs);
				return 'done';
			},
		});
		addCleanup(() => {
			endpoint.stop();
		});
		return endpoint;
	};

	await startOn(web, 'i-web-1', web.ports.app);
	const endpoint = await startOn(pay, 'i-pay-1', 0);
	const relay = await startRelay({
		ip: pay.ip,
		port: pay.ports.app,
		target: {host: pay.ip, port: endpoint.port},
	});
	addCleanup(() => {
		relay.stop();
	});
	await endpoint.report();
	const send = async id => {
		note('sends', {request: id, from: web.name});
		const answer = await sendRequest({
			ip: web.ip,
			port: web.ports.outbound,
			id,
			method: 'POST',
			target: `/pay/${id}`,
			host: 'shop.example',
			deadlineMs: 5000,
		});
		note('client gets', {request: id, status: answer.status, end: answer.end, ms: answer.tookMs});
		return answer;
	};

	// The first report is confirmed by a probe, and spread to the other node.
	for (let attempt = 0; (await send(`warm-${attempt}`)).status !== 200; attempt++) {
		await sleep(300);
	}

	await Promise.all(Array.from({length: burst}, async (_, index) => send(`burst-${index}`)));
	if (hasTrouble) {
		note('silences', {connections: relay.silence()});
	}

	await sleep(stableWindowMs + 500);
	const sent = send('late-1');
	await sleep(50);
	const confirmedMs = await endpoint.drain();
	if (confirmedMs === undefined) {
		throw new Error('the node did not confirm that the endpoint drains');
	}

	await sleep(drainMs + 5000);
	await sent;
	const late = endpoint.runs.filter(run => run.arrivedMs - confirmedMs > drainMs);
	return late.map(
		run =>
			`${run.id} reaches ${run.endpoint} ${Math.round(run.arrivedMs - confirmedMs)} ms after the node has confirmed that it drains`,
	);
});
