import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Bed} from '../lib/bed.mjs';

const timeoutMs = 1500;
const lateMs = 500;
const clientBudgetMs = 5000;
const calmMs = 4000;
const afterMs = 20_000;
const spaces = 65_400;

/** Bytes that are no answer: a head with one long header line, and then nothing. */
const noAnswer = `HTTP/1.1 200 OK\r\nServer-Seal: 3e1b${' '.repeat(spaces)}07\r\n\r\n`;

/** TROUBLE=0 runs the case without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const bed = await Bed.start(path.dirname(fileURLToPath(import.meta.url)));
try {
	let isFaulty = false;
	const near = await bed.addMachine('stock', {
		intercept(req, endpoint) {
			if (!isFaulty || req.target !== '/stock/faulty') {
				return false;
			}

			isFaulty = false;
			bed.note(`endpoint ${endpoint.id} sends ${noAnswer.length} bytes that are no answer`);
			req.connection.socket.write(noAnswer);
			return true;
		},
	});
	await bed.addMachine('orders', {workMs: () => 100});
	bed.configure(
		[
			{prefix: '/stock/', service: 'stock', timeoutMs},
			{prefix: '/orders/', service: 'orders', kind: 'non_idempotent', timeoutMs},
		],
		['stock', 'orders'],
	);
	await bed.startAll(['/stock/a', '/orders/a']);
	await bed.sleep(calmMs);

	const sending = [];
	const startMs = bed.nowMs;
	for (let count = 0; bed.nowMs < startMs + afterMs; count++) {
		if (count === 5) {
			isFaulty = hasTrouble;
			bed.send(near, {path: '/stock/faulty', budgetMs: clientBudgetMs});
		}

		bed.send(near, {path: '/stock/a', budgetMs: clientBudgetMs, isQuiet: true});
		sending.push(
			bed.send(near, {method: 'POST', path: '/orders/b', body: 'x', budgetMs: clientBudgetMs}),
		);
		await bed.sleep(250);
	}

	const results = await Promise.all(sending);
	bed.note(`endpoint ${near.endpoint.id} gave ${near.endpoint.answers} sound answers beside it`);
	const lasted = ({sentMs, answeredMs, status}) => (status === 0 ? Infinity : answeredMs - sentMs);
	const overdue = results.filter(result => lasted(result) > timeoutMs);
	const unanswered = overdue.filter(result => lasted(result) > timeoutMs + lateMs);
	bed.note(
		`${results.length} sound requests to the sound endpoint; ${overdue.length} unanswered at the route's ${timeoutMs} ms, ${unanswered.length} of them also ${lateMs} ms later`,
	);
	bed.finish(unanswered.length * 2 > overdue.length ? 1 : 0);
} catch (error) {
	bed.note(String(error.stack));
	bed.finish(2);
}
