import {copyFile, rm} from 'node:fs/promises';
import path from 'node:path';
import {build} from 'esbuild';
import {keepBytecode} from './keep-bytecode.js';

const folder = process.argv[2] ?? 'target';
const loader = path.join(folder, 'medlarsaddled.cjs');

/** As in deploy/system.toml: bytecode is accepted only under the flags it was created with. */
const flags = ['--max-old-space-size=200'];

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
	logLevel: 'warning',
});
await rm(path.join(folder, 'medlarsaddled.bytecode'), {force: true});
await copyFile('tools/loader.cjs', loader);
await keepBytecode(loader, flags);
