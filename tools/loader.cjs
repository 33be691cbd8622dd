'use strict';
// Runs the bundle beside this file from bytecode that was kept at the build. A node starts in half of
// the time then; without the bytecode, or with that of another Node.js, it starts all the same.
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

// The build asks for the bytecode of everything that has run by then.
process.once('message', () => {
	fs.writeFileSync(kept, script.createCachedData());
	process.exit();
});
