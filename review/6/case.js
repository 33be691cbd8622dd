import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.js';
import {runCase} from '../lib-2/run-case.js';
import {sendRequest} from '../lib-2/send-request.js';
import {startBed} from '../lib-2/start-bed.js';
import {startEndpoint} from '../lib-2/start-endpoint.js';

/** Share of the answers of the faulty endpoint that are sent twice. */
const extraShare = 0.03;
/** Statuses which promise that the request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);
/** Both disruptions last for `troubleMs` at a time, with a pause after it. */
const spells = 6;
const troubleMs = 5000;
const pauseMs = 3500;
const payNames = ['pay-1', 'pay-2', 'pay-3', 'pay-4', 'pay-5'];
const faultyCount = 3;

/** Requests of one round. The clients of reports leave, which are less than a third of all. */
const reportWaves = [90, 32];
const lists = 220;
const payments = 75;
const leaveMs = 300;
const waiting = {deadlineMs: 5000};
const leaving = {deadlineMs: 5000, giveUpMs: leaveMs};

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(1, [
			{name: 'list', service: 'pay', isIdempotent: true, timeoutMs: 5000, attempts: 1},
			{
				name: 'report',
				service: 'pay',
				isIdempotent: true,
				timeoutMs: 5000,
				targetMs: 2 * leaveMs,
				attempts: 1,
			},
			{name: 'pay', service: 'pay', isIdempotent: false, timeoutMs: 1200},
			{name: 'web', service: 'web', isIdempotent: true, timeoutMs: 5000},
		]),
		machines: [
			...payNames.map(name => ({name, zone: 'zone-1', service: 'pay'})),
			{name: 'web-1', zone: 'zone-1', service: 'web'},
		],
		note,
	});
	addCleanup(bed.stop);
	const web = bed.machines['web-1'];
	const extras = new WeakMap();
	let isTroubled = false;
	const startOn = async (machine, isFaulty) => {
		const endpoint = await startEndpoint({
			ip: machine.ip,
			port: machine.ports.app,
			id: `i-${machine.name}`,
			service: machine.service,
			zone: machine.zone,
			slots: 20,
			queue: 4,
			fullDelayMs: 60,
			dropsOnClose: false,
			control: machine.control,
			note,
			async work({target}) {
				await sleep(target.startsWith('/report/') ? 1000 + Math.random() * 1000 : 20);
				return 'done';
			},
			onRequest(socket) {
				const extra = extras.get(socket);
				if (extra) {
					extras.delete(socket);
					note('sends again', {
						endpoint: machine.name,
						isHealth: !extra.includes('Attempt-Id'),
						answer: extra.toString('latin1', 9, 12),
					});
					socket.write(extra);
				}
			},
			onWrite(socket, bytes) {
				socket.write(bytes);
				if (isFaulty && isTroubled && Math.random() < extraShare) {
					extras.set(socket, bytes);
				}
			},
		});
		addCleanup(() => {
			endpoint.stop();
		});
		await endpoint.report();
		return endpoint;
	};

	const endpoints = [];
	for (const [index, name] of payNames.entries()) {
		endpoints.push(await startOn(bed.machines[name], index < faultyCount));
	}

	await startOn(web, false);
	const answers = [];
	const send = async (name, id, opts) => {
		note('sends', {request: id});
		const answer = await sendRequest({
			ip: web.ip,
			port: web.ports.outbound,
			id,
			target: `/${name}/${id}`,
			host: 'shop.example',
			...opts,
		});
		note('gets', {request: id, status: answer.status, end: answer.end});
		return {...answer, id};
	};

	const payment = {method: 'POST', deadlineMs: 1200};
	for (let attempt = 0; (await send('pay', `warm-${attempt}`, payment)).status !== 200; attempt++) {
		await sleep(300);
	}

	let count = 0;
	const pending = new Set();
	const track = promise => {
		pending.add(promise);
		promise.finally(() => pending.delete(promise));
	};

	const sendLists = () => {
		for (let index = 0; index < lists; index++) {
			count++;
			track(send('list', `list-${count}`, waiting));
		}
	};

	const sendReports = async wave => {
		for (let index = 0; index < wave; index++) {
			count++;
			track(send('report', `report-${count}`, isTroubled ? leaving : waiting));
		}

		await sleep(leaveMs + 10);
	};

	// The clients of reports leave, and the endpoints go on with their work. Payments come while that
	// work still fills the endpoints, and runs end all the time.
	for (let spell = 0; spell < spells; spell++) {
		const endMs = performance.now() + troubleMs;
		isTroubled = hasTrouble;
		while (performance.now() < endMs) {
			for (const wave of reportWaves) {
				await sendReports(wave);
			}

			sendLists();
			await sleep(500);
			for (let index = 0; index < payments; index++) {
				count++;
				const sent = send('pay', `pay-${count}`, payment);
				track(sent.then(answer => answers.push(answer)));
			}

			await sleep(450);
		}

		isTroubled = false;
		await sleep(pauseMs);
	}

	await Promise.all(pending);
	await sleep(2000);
	const runsOf = new Map();
	for (const run of endpoints.flatMap(endpoint => endpoint.runs)) {
		if (run.startMs !== undefined) {
			runsOf.set(run.id, [...(runsOf.get(run.id) ?? []), run.endpoint]);
		}
	}

	return answers.flatMap(({id, status}) => {
		const ran = runsOf.get(id) ?? [];
		const where = ran.join(' and ');
		return [
			...(ran.length > 1 ? [`TWICE: ${id} ran at ${where}, and the client got ${status}`] : []),
			...(ran.length > 0 && promises.has(status)
				? [`REFUSED: ${id} ran at ${where}, and the client got ${status}`]
				: []),
		];
	});
});
