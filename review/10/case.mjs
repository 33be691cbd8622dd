import {fork} from 'node:child_process';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {configurationOf} from '../lib-2/configuration-of.mjs';
import {runCase} from '../lib-2/run-case.mjs';
import {sendRequest} from '../lib-2/send-request.mjs';
import {startBed} from '../lib-2/start-bed.mjs';

const timeoutMs = 1500;
/** The rule's slack after the time of the route. */
const slackMs = 500;
const deadlineMs = 5000;
const runMs = 15_000;
const faultyFromMs = 4000;
const faultyForMs = 5500;
/** One answer of so many of the faulty endpoint has no end. */
const spoiledEvery = 50;
/** Requests a second, from the clients of all machines together. */
const rates = {map: 132, rules: 43};

await runCase(import.meta.dirname, async ({note, hasTrouble, addCleanup}) => {
	const bed = await startBed({
		configuration: configurationOf(
			1,
			Object.keys(rates).map(name => ({name, service: name, isIdempotent: true, timeoutMs})),
		),
		machines: [
			{name: 'map-1', zone: 'zone-1', service: 'map'},
			{name: 'rules-1', zone: 'zone-1', service: 'rules'},
			{name: 'rules-2', zone: 'zone-2', service: 'rules'},
		],
		note,
	});
	addCleanup(bed.stop);
	const machines = Object.values(bed.machines);
	const endpoints = await Promise.all(
		machines.map(async ({name, ip, ports, service, zone, control}) => {
			const settings = {ip, port: ports.app, id: `i-${name}`, service, zone, slots: 72, control};
			const child = fork(path.join(import.meta.dirname, 'endpoint.mjs'), [
				JSON.stringify({...settings, spoiledEvery}),
			]);
			addCleanup(() => {
				child.kill('SIGKILL');
			});
			await new Promise(resolve => {
				child.on('message', ({event, fields}) => {
					note(event, fields);
					if (event === 'listens') {
						resolve();
					}
				});
			});
			return child;
		}),
	);
	await sleep(1500);
	const requests = [];
	const send = async (name, machine) => {
		const id = `${name}-${requests.length}`;
		note('sends', {request: id, at: machine.name});
		const {status, end, tookMs} = await sendRequest({
			ip: machine.ip,
			port: machine.ports.outbound,
			id,
			target: `/${name}/${id}`,
			host: 'shop.example',
			deadlineMs,
		});
		note('gets', {request: id, at: machine.name, status, end, tookMs});
		return {name, tookMs};
	};

	const startMs = performance.now();
	const runClients = async (name, perSecond) => {
		for (let index = 0; performance.now() - startMs < runMs; index++) {
			requests.push(send(name, machines[index % machines.length]));
			await sleep(startMs + ((index + 1) * 1000) / perSecond - performance.now());
		}
	};

	const running = Object.entries(rates).map(async ([name, perSecond]) =>
		runClients(name, perSecond),
	);
	await sleep(faultyFromMs);
	if (hasTrouble) {
		note('faulty', {endpoint: 'i-map-1'});
		endpoints[0].send({isFaulty: true});
	}

	await sleep(faultyForMs);
	if (hasTrouble) {
		note('sound again', {endpoint: 'i-map-1'});
		endpoints[0].send({isFaulty: false});
	}

	await Promise.all(running);
	const answers = await Promise.all(requests);
	const unanswered = answers.filter(({tookMs}) => tookMs >= timeoutMs);
	const late = unanswered.filter(({tookMs}) => tookMs >= timeoutMs + slackMs);
	const sound = late.filter(({name}) => name === 'rules').length;
	const what = `of ${unanswered.length} requests that were unanswered at the ${timeoutMs} ms of their route, ${late.length} had no answer ${slackMs} ms later, ${sound} of them to the sound service`;
	note('counts', {requests: answers.length, what});
	console.log(what);
	return late.length * 2 > unanswered.length ? [what] : [];
});
