import {copyFile, rm} from 'node:fs/promises';
import path from 'node:path';
import {build} from 'esbuild';
import {keepBytecode} from './keep-bytecode.js';

const folder = process.argv[2] ?? 'target';
const loader = path.join(folder, 'medlarsaddled.cjs');

/** As in deploy/system.toml: bytecode is accepted only under the flags it was created with. */
const flags = ['--max-old-space-size=200', '--max-semi-space-size=4'];

await build({
	entryPoints: ['packages/daemon/src/bin/medlarsaddled.ts'],
	outfile: path.join(folder, 'medlarsaddled.bundle.cjs'),
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Bytecode can be cached for scripts, but not for ES modules.
	format: 'cjs',
	conditions: ['source'],
	minifySyntax: true,
	minifyWhitespace: true,
	// The native part of msgpackr cannot be bundled; the search for it takes time at each start.
	define: {'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"'},
	logLevel: 'warning',
});
await rm(path.join(folder, 'medlarsaddled.bytecode'), {force: true});
await copyFile('tools/loader.cjs', loader);
try {
	await keepBytecode(folder, loader, flags);
} catch (error) {
	// The script runs without it; a test of the deployed script fails.
	console.error(`No bytecode was saved, so each start takes longer: ${error.message}`);
}
