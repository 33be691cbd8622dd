import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';

const {resolve} = createRequire(import.meta.url);
const standIn = (name: string): string =>
	fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

/** Scripts of the programs that a fleet consists of. */
export const programs = {
	daemon: resolve('@medlarsaddle/daemon').replace(/index\.js$/v, 'bin/medlarsaddled.js'),
	client: resolve('@medlarsaddle/client').replace(/index\.js$/v, 'bin/medlarsaddle.js'),
	platform: standIn('platform'),
	upstream: standIn('upstream'),
} as const;
