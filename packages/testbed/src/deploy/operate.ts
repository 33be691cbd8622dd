import {execFile} from 'node:child_process';
import type {Host} from './host.js';
import {programs} from './programs.js';

/**
 * Runs the operators' client against a host; resolves with its exit code and what it prints.
 *
 * @example
 * const {code, text} = await operate(host, ['status']);
 */
export const operate = async (
	{ports}: Pick<Host, 'ports'>,
	args: readonly string[],
): Promise<{code: number; text: string}> =>
	new Promise(resolve => {
		const all = [programs.client, ...args, '--node', `127.0.0.1:${ports.operator}`];
		execFile(process.execPath, all, (error, stdout, stderr) => {
			resolve({code: Number(error?.code ?? 0), text: stdout + stderr});
		});
	});
