#!/usr/bin/env node
import {Builtins, Cli} from 'clipanion';
import {Drain} from '../commands/drain.js';
import {Explain} from '../commands/explain.js';
import {PolicyDiff} from '../commands/policy-diff.js';
import {PolicyGet} from '../commands/policy-get.js';
import {PolicyHistory} from '../commands/policy-history.js';
import {PolicyPut} from '../commands/policy-put.js';
import {PolicyWatch} from '../commands/policy-watch.js';
import {Report} from '../commands/report.js';
import {Status} from '../commands/status.js';
import {Upstreams} from '../commands/upstreams.js';
import {Version} from '../commands/version.js';
import {clientVersion} from '../client-version.js';

const cli = new Cli({
	binaryLabel: 'medlarsaddle, client for operators',
	binaryName: 'medlarsaddle',
	binaryVersion: clientVersion,
});
const commands = [
	PolicyGet,
	PolicyPut,
	PolicyDiff,
	PolicyHistory,
	PolicyWatch,
	Upstreams,
	Status,
	Drain,
	Report,
	Explain,
	Version,
	Builtins.HelpCommand,
	Builtins.VersionCommand,
];
for (const command of commands) {
	cli.register(command);
}

process.exitCode = await cli.run(process.argv.slice(2));
