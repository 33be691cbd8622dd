import process from 'node:process';
import {createRecord} from './create-record.mjs';

/** Time after which a case counts as one that could not run. */
const maxRunMs = 110_000;

const exitCodes = {held: 0, broken: 1, failed: 2};

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could
 * not run. The case gets the record and whether the disruption is to be made, and resolves with the
 * breaches that it has found.
 *
 * @example
 * await runCase(import.meta.dirname, async ({note, hasTrouble}) => []);
 */
export const runCase = async (folder, play) => {
	const hasTrouble = process.env.TROUBLE !== '0';
	const note = createRecord(`${folder}/record.txt`);
	note('case', {trouble: hasTrouble});
	const timeout = new Promise((_resolve, reject) => {
		process.on('SIGTERM', () => {
			reject(new Error('the case was stopped'));
		});
		setTimeout(() => {
			reject(new Error('the case took too long'));
		}, maxRunMs).unref();
	});
	let code = exitCodes.failed;
	const cleanups = [];
	try {
		const addCleanup = action => cleanups.unshift(action);
		const breaches = await Promise.race([play({note, hasTrouble, addCleanup}), timeout]);
		for (const breach of breaches) {
			note('BROKEN', {what: breach});
			console.log(`broken: ${breach}`);
		}

		code = breaches.length > 0 ? exitCodes.broken : exitCodes.held;
	} catch (error) {
		note('could not run', {error: error.stack});
		console.log(`could not run: ${error.message}`);
	}

	for (const cleanup of cleanups) {
		await cleanup();
	}

	note('ends', {code});
	// eslint-disable-next-line unicorn/no-process-exit -- a case is a program, and its sockets may stay open
	process.exit(code);
};
