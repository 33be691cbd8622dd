import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Bed} from '../lib/bed.mjs';

const timeoutMs = 1500;
const lateMs = 500;
const clientBudgetMs = 5000;
const calmMs = 4000;
const afterMs = 14_000;
const faultyMs = 6000;
const pieceBytes = 4;
const perS = 20;

/** Part of a body that has no end until the connection is closed: many short chunks. */
const chunk = `${pieceBytes.toString(16)}\r\n${'x'.repeat(pieceBytes)}\r\n`;
const piece = Buffer.from(chunk.repeat(1000));

const bed = await Bed.start(path.dirname(fileURLToPath(import.meta.url)));
try {
	let isFaulty = false;
	let faultyCount = 0;
	const near = await bed.addMachine('stock', {
		slots: 72,
		workMs: () => 100,
		intercept(req) {
			if (!isFaulty) {
				return false;
			}

			faultyCount++;
			const {socket} = req.connection;
			const pour = () => {
				while (!socket.destroyed && socket.write(piece)) {
					// Writes until the buffers are full.
				}
			};

			socket.write(
				`HTTP/1.1 200 OK\r\nAttempt-Id: ${req.id}\r\nTransfer-Encoding: chunked\r\n\r\n`,
			);
			socket.on('drain', pour);
			pour();
			return true;
		},
	});
	await bed.addMachine('orders', {slots: 24, workMs: () => 100});
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
	const browsing = setInterval(() => {
		bed.send(near, {path: '/stock/b', budgetMs: clientBudgetMs, isQuiet: true});
	}, 1000 / perS);
	let wasFaulty = false;
	while (bed.nowMs < startMs + afterMs) {
		const isDue = bed.nowMs > startMs + 2000 && bed.nowMs < startMs + 2000 + faultyMs;
		isFaulty = bed.hasTrouble && isDue;
		if (isFaulty !== wasFaulty) {
			bed.note(`the endpoint of stock answers ${isFaulty ? 'without end' : 'soundly again'}`);
			wasFaulty = isFaulty;
		}

		sending.push(
			bed.send(near, {method: 'POST', path: '/orders/b', body: 'x', budgetMs: clientBudgetMs}),
		);
		await bed.sleep(100);
	}

	clearInterval(browsing);
	const results = await Promise.all(sending);
	const lasted = ({sentMs, answeredMs, status}) => (status === 0 ? Infinity : answeredMs - sentMs);
	const overdue = results.filter(result => lasted(result) > timeoutMs);
	const unanswered = overdue.filter(result => lasted(result) > timeoutMs + lateMs);
	bed.note(`${faultyCount} requests of stock were answered without end`);
	bed.note(
		`${results.length} sound requests to the sound endpoint; ${overdue.length} unanswered at the route's ${timeoutMs} ms, ${unanswered.length} of them also ${lateMs} ms later`,
	);
	bed.note(`served: ${results.filter(({status}) => status === 200).length}`);
	bed.finish(unanswered.length * 2 > overdue.length ? 1 : 0);
} catch (error) {
	bed.note(String(error.stack));
	bed.finish(2);
}
