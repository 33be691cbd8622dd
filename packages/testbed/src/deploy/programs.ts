import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';

const {resolve} = createRequire(import.meta.url);
const scriptOf = (name: string): string =>
	fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

/** Paths of the programs that the test bed starts; those of other packages must have been built. */
export const programs = {
	get daemon(): string {
		return resolve('@medlarsaddle/daemon').replace(/index\.js$/v, 'bin/medlarsaddled.js');
	},
	get client(): string {
		return resolve('@medlarsaddle/client').replace(/index\.js$/v, 'bin/medlarsaddle.js');
	},
	platform: scriptOf('platform'),
	upstream: scriptOf('upstream'),
} as const;
