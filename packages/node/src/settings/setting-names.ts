const kebab = (name: string): string =>
	name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/**
 * Names of the command-line flag and the environment variable of a setting.
 *
 * @example
 * settingNames('httpPort'); // {flag: 'http-port', env: 'MEDLARSADDLE_HTTP_PORT'}
 */
export const settingNames = (name: string): {readonly flag: string; readonly env: string} => ({
	flag: kebab(name),
	env: `MEDLARSADDLE_${kebab(name).replaceAll('-', '_').toUpperCase()}`,
});
