import {type z} from 'zod';
import {settingNames} from './setting-names.js';
import {settingsSchema} from './settings-schema.js';

type SettingDescription = {
	readonly name: string;
	readonly flag: string;
	readonly env: string;
	readonly doc: string;
	readonly fallback: string;
};

/**
 * Describes every setting, for the help text and the settings page.
 *
 * @example
 * for (const {flag, doc} of describeSettings()) {
 * 	console.log(`--${flag}  ${doc}`);
 * }
 */
export const describeSettings = (): SettingDescription[] =>
	Object.entries(settingsSchema.shape).map(([name, schema]) => {
		const fallback = (schema as z.ZodType).safeParse(undefined);
		return {
			name,
			...settingNames(name),
			doc: (schema as z.ZodType).description ?? '',
			fallback: fallback.success ? textOf(fallback.data) : 'required',
		};
	});

const textOf = (value: unknown): string =>
	Array.isArray(value) || value === undefined ? '' : JSON.stringify(value).replaceAll('"', '');
