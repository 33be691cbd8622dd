import {execFile} from 'node:child_process';
import type {Host} from './host.js';
import {programs} from './programs.js';

/**
 * Runs the operators' client against a host; resolves with its exit code and output.
 *
 * @example
 * const {code, text} = await runClient(host, ['status']);
 */
export const runClient = async (
	{ports}: Pick<Host, 'ports'>,
	args: readonly string[],
): Promise<{code: number; text: string}> =>
	new Promise(resolve => {
		const nodeArgs = [programs.client, ...args, '--node', `127.0.0.1:${ports.operator}`];
		execFile(process.execPath, nodeArgs, (error, stdout, stderr) => {
			resolve({code: Number(error?.code ?? 0), text: stdout + stderr});
		});
	});
