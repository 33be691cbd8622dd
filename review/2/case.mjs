import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Bed} from '../lib/bed.mjs';

const timeoutMs = 1500;
const clientBudgetMs = 5000;
const firstHalfMs = 50;
const secondHalfMs = 100;
const silentShare = 0.5;
const times = 3;
const pauseMs = 6000;

/** TROUBLE=0 runs the case without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const bed = await Bed.start(path.dirname(fileURLToPath(import.meta.url)));
try {
	const answerOf = id => `prices for ${id}; `.repeat(40);
	const open = new Set();
	const near = await bed.addMachine('front');
	await bed.addMachine('prices', {
		slots: 48,
		intercept(req, endpoint) {
			// Each answer has no length, ends with its connection, and leaves in two pieces.
			const {socket} = req.connection;
			const answer = answerOf(req.id);
			const half = Math.floor(answer.length / 2);
			const sending = {id: req.id, isSilent: false};
			const write = (text, isLast) => {
				if (!sending.isSilent && !socket.destroyed) {
					socket[isLast ? 'end' : 'write'](text);
				}
			};

			open.add(sending);
			socket.on('close', () => {
				open.delete(sending);
			});
			endpoint.runs.push({id: req.id, target: req.target, atMs: bed.nowMs});
			setTimeout(() => {
				const head = ['HTTP/1.1 200 OK', `Attempt-Id: ${req.id}`, 'Server-Seal: 3e1b.07'];
				write(`${head.join('\r\n')}\r\n\r\n${answer.slice(0, half)}`, false);
				setTimeout(() => {
					write(answer.slice(half), true);
				}, secondHalfMs);
			}, firstHalfMs);
			return true;
		},
	});
	bed.configure(
		[
			{prefix: '/board/', service: 'prices', timeoutMs},
			{prefix: '/order/', service: 'prices', kind: 'non_idempotent', timeoutMs},
		],
		['front', 'prices'],
	);
	await bed.startAll(['/board/a', '/order/a']);
	await bed.sleep(4000);

	const sending = [];
	const reading = setInterval(() => {
		const opts = {budgetMs: clientBudgetMs, isQuiet: true};
		sending.push(
			bed.send(near, {path: '/board/b', ...opts}),
			bed.send(near, {method: 'POST', path: '/order/b', body: 'x', ...opts}),
		);
	}, 50);
	for (let count = 0; count < times; count++) {
		await bed.sleep(pauseMs);
		const silent = hasTrouble ? [...open].filter(() => Math.random() < silentShare) : [];
		for (const each of silent) {
			each.isSilent = true;
			bed.note(`the connection to the endpoint that carries ${each.id} goes silent`);
		}
	}

	await bed.sleep(pauseMs);
	clearInterval(reading);
	const results = await Promise.all(sending);
	const whole = results.filter(({id, status, answer}) => status === 200 && answer === answerOf(id));
	const short = results.filter(({id, status, answer}) => status === 200 && answer !== answerOf(id));
	for (const {id, answer, sentMs, answeredMs} of short) {
		bed.note(
			`${id} sent at ${sentMs} ms, answered at ${answeredMs} ms: 200 with ${answer.length} of ${answerOf(id).length} bytes, and a length that says that it is whole`,
		);
	}

	bed.note(
		`${results.length} requests; answered with the whole body: ${whole.length}, with a part of it as if whole: ${short.length}, otherwise: ${results.length - whole.length - short.length}`,
	);
	bed.finish(short.length > 0 ? 1 : 0);
} catch (error) {
	bed.note(String(error.stack));
	bed.finish(2);
}
