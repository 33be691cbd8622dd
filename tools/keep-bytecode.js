import {execFile} from 'node:child_process';
import path from 'node:path';
import {promisify} from 'node:util';
import {build} from 'esbuild';

/**
 * Runs the node through a loader in a small deployment with stand-ins, and has it save the bytecode
 * of the code that has run.
 *
 * @param {string} folder Folder of the loader.
 * @param {string} loader Path of the loader.
 * @param {readonly string[]} flags Node.js flags that the node runs with in production; bytecode is
 * accepted only under the flags it was created with.
 */
export const keepBytecode = async (folder, loader, flags) => {
	const program = path.join(folder, 'warm-up.mjs');
	await build({
		entryPoints: ['packages/testbed/src/bin/warm-up.ts'],
		outfile: program,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'esm',
		conditions: ['source'],
		banner: {js: requireInModule},
		logLevel: 'warning',
	});
	await promisify(execFile)(process.execPath, [program, '--', loader, ...flags], {
		env: {...process.env, MEDLARSADDLE_KEEP_BYTECODE: '1'},
	});
};

/** Bundled CommonJS packages call `require`, which ES modules do not have. */
const requireInModule =
	"import {createRequire as requireFor} from 'node:module'; const require = requireFor(import.meta.url);";
