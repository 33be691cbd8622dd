import {build} from 'esbuild';

// Libraries that are not ES modules ask for Node.js's own modules by `require`.
const banner =
	"import {createRequire as createRequireOf} from 'node:module';" +
	'const require = createRequireOf(import.meta.url);';

await build({
	entryPoints: ['packages/daemon/src/bin/medlarsaddled.ts'],
	outfile: 'target/medlarsaddled.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['source'],
	minifySyntax: true,
	banner: {js: banner},
	logLevel: 'warning',
});
