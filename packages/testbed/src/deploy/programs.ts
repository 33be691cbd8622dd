import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';

const {resolve} = createRequire(import.meta.url);
const scriptOf = (name: string): string =>
	fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

/** Paths of the programs that the test bed starts. */
export const programs = {
	daemon: resolve('@medlarsaddle/daemon').replace(/index\.js$/v, 'bin/medlarsaddled.js'),
	client: resolve('@medlarsaddle/client').replace(/index\.js$/v, 'bin/medlarsaddle.js'),
	platform: scriptOf('platform'),
	upstream: scriptOf('upstream'),
} as const;
