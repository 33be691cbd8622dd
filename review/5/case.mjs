import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Bed} from '../lib/bed.mjs';

const drainMs = 2000;
const stableWindowMs = 3000;
const reportDelayMs = 3500;
const leavingMs = 12_000;

/** TROUBLE=0 runs the case without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const bed = await Bed.start(path.dirname(fileURLToPath(import.meta.url)));
try {
	const entry = await bed.addMachine('front');
	const leaver = await bed.addMachine('orders', {slots: 12, workMs: () => 800});
	await bed.addMachine('orders', {slots: 12, workMs: () => 800});
	bed.configure(
		[
			{prefix: '/front/', service: 'front'},
			{prefix: '/orders/', service: 'orders', kind: 'non_idempotent', timeoutMs: 3000},
		],
		['front', 'orders'],
	);
	await bed.startAll(['/front/a', '/orders/a']);
	const {endpoint} = leaver;
	endpoint.stopBeats();

	// From here on the reports of this endpoint arrive late; each is sent once.
	let sent = 0;
	const report = () => {
		const body = endpoint.report();
		sent++;
		const number = sent;
		bed.note(
			`endpoint ${endpoint.id} sends report ${number}, which arrives ${reportDelayMs} ms later`,
		);
		setTimeout(async () => {
			const status = await endpoint.beat(body);
			bed.note(`report ${number} of ${endpoint.id} arrives: ${status || 'no answer'}`);
		}, reportDelayMs);
	};

	const sending = [];
	const traffic = setInterval(() => {
		sending.push(bed.send(entry, {method: 'POST', path: '/orders/b', body: 'x', budgetMs: 5000}));
	}, 80);
	report();
	await bed.sleep(1500);
	report();
	await bed.sleep(1500);
	report();
	await bed.sleep(500);

	endpoint.isLeaving = true;
	const status = await endpoint.beat(undefined, 'DELETE');
	const confirmedMs = bed.nowMs;
	bed.note(`endpoint ${endpoint.id} says that it leaves (DELETE): ${status}`);
	if (status !== 200) {
		throw new Error('the leaving was not confirmed');
	}

	await bed.sleep(300);
	let backMs = bed.nowMs;
	if (hasTrouble) {
		leaver.child.kill('SIGKILL');
		await bed.until('the process is gone', () => leaver.ended !== undefined);
		await bed.sleep(500);
		bed.startProcess(leaver);
		backMs = bed.nowMs;
	}

	await bed.sleep(leavingMs - (bed.nowMs - confirmedMs));
	const endedMs = bed.nowMs;
	bed.note(`endpoint ${endpoint.id} ends`);
	endpoint.end();
	await bed.sleep(500);
	clearInterval(traffic);
	const results = await Promise.all(sending);

	// The machine counts as in touch again only after the stable window.
	const lastMs = Math.max(confirmedMs + drainMs, hasTrouble ? backMs + stableWindowMs : 0);
	const late = endpoint.runs.filter(({atMs}) => atMs > lastMs && atMs < endedMs);
	const cut = results.filter(
		({status, sentMs}) => status !== 200 && sentMs > lastMs && sentMs < endedMs,
	);
	bed.note(
		`requests that reached ${endpoint.id} later than ${drainMs} ms after its leaving was confirmed at ${confirmedMs} ms, with the machine in touch again since ${lastMs} ms: ${late.length}`,
	);
	bed.note(`requests sent in that time without success: ${cut.length}`);
	bed.finish(late.length > 0 ? 1 : 0);
} catch (error) {
	bed.note(String(error.stack));
	bed.finish(2);
}
