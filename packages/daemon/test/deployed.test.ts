import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtemp, readFile, rm, stat, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const runCommand = promisify(execFile);
const root = fileURLToPath(new URL('../../../../', import.meta.url));
const flags = ['--max-old-space-size=200', '--max-semi-space-size=4'];
let folder: string;

const fileOf = (name: string) => path.join(folder, name);
const help = async () => {
	const {stdout, stderr} = await runCommand(process.execPath, [
		...flags,
		fileOf('medlarsaddled.cjs'),
		'--help',
	]);
	assert.equal(stderr, '');
	return stdout;
};

before(async () => {
	folder = await mkdtemp(path.join(os.tmpdir(), 'medlarsaddle-deployed-'));
	await runCommand(process.execPath, ['tools/bundle.js', folder], {cwd: root});
});

after(async () => {
	await rm(folder, {recursive: true});
});

test('the deployed script runs with the bytecode from its build', async () => {
	assert.ok((await stat(fileOf('medlarsaddled.bytecode'))).size > 0);
	assert.match(await help(), /--platform FILE/v);
});

test('the deploy file runs the script with the flags under which its bytecode was compiled', async () => {
	const deploy = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	assert.ok(deploy.includes(`run = "node ${flags.join(' ')} target/medlarsaddled.cjs"`));
	const listed = `[${flags.map(flag => `'${flag}'`).join(', ')}]`;
	assert.ok((await readFile(path.join(root, 'tools/bundle.js'), 'utf8')).includes(listed));
});

test('the deployed script runs with invalid bytecode and without bytecode', async () => {
	await writeFile(fileOf('medlarsaddled.bytecode'), 'of something else');
	assert.match(await help(), /--platform FILE/v);
	await rm(fileOf('medlarsaddled.bytecode'));
	assert.match(await help(), /--platform FILE/v);
});
