'use strict';
// Runs the bundle beside this file from bytecode that was saved at build time, which halves the
// start time of a node. Without the bytecode, or with that of another Node.js version, the node
// still starts.
const fs = require('node:fs');
const {createRequire, wrap} = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const bundle = path.join(__dirname, 'medlarsaddled.bundle.cjs');
const kept = path.join(__dirname, 'medlarsaddled.bytecode');
const source = fs.readFileSync(bundle, 'utf8').replace(/^#!.*/, '');
const script = new vm.Script(wrap(source), {
	filename: bundle,
	cachedData: fs.existsSync(kept) ? fs.readFileSync(kept) : undefined,
	importModuleDynamically: vm.constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
const bundled = {exports: {}};
script.runInThisContext()(bundled.exports, createRequire(bundle), bundled, bundle, __dirname);

// The build sends a signal to save the bytecode of all functions that have run so far.
if (process.env.MEDLARSADDLE_KEEP_BYTECODE) {
	process.once('SIGUSR2', () => {
		fs.writeFileSync(kept, script.createCachedData());
		process.exit();
	});
}
