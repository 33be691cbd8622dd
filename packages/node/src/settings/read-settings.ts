import {parseArgs} from 'node:util';
import {Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {settingNames} from './setting-names.js';
import type {Settings} from './settings.js';
import {settingsSchema} from './settings-schema.js';

/**
 * Reads settings from flags and environment variables; a flag takes precedence over its variable.
 * The fault names every invalid setting, each with its remedy.
 *
 * @example
 * const settings = readSettings(process.argv.slice(2), process.env);
 */
export const readSettings = (
	args: readonly string[],
	env: Readonly<Record<string, string | undefined>>,
): Result<Settings, Fault> => {
	const names = Object.keys(settingsSchema.shape);
	const options = Object.fromEntries(
		names.map(name => [settingNames(name).flag, {type: 'string' as const}]),
	);
	let flags: Record<string, string | boolean | undefined>;
	try {
		flags = parseArgs({args: [...args], options, strict: true}).values;
	} catch (error) {
		return err(
			Fault.of(faultKinds.badSettings, errorText(error), 'Run with --help for the list of flags'),
		);
	}

	const raw = Object.fromEntries(
		names.map(name => {
			const {flag, env: variable} = settingNames(name);
			return [name, flags[flag] ?? env[variable]];
		}),
	);
	const checked = settingsSchema.safeParse(raw);
	if (checked.success) {
		return ok(checked.data);
	}

	const faults = checked.error.issues.map(({path, message}) => {
		const {flag, env: variable} = settingNames(String(path[0]));
		return `${message}: set --${flag} or ${variable}`;
	});
	return err(
		Fault.of(faultKinds.badSettings, faults.join('; '), 'Correct each of these and start again'),
	);
};
