import {type AwilixContainer, asFunction} from 'awilix';
import {createApp} from '../callers/create-app.js';
import {serveCalls} from '../callers/serve-calls.js';
import {serveHealth} from '../callers/serve-health.js';
import {serveKeys} from '../callers/serve-keys.js';
import {serveUpstream} from '../callers/serve-upstream.js';
import type {Cradle} from './cradle.js';

/**
 * Registers the servers for callers and the upstream.
 *
 * @example
 * registerServers(container);
 */
export const registerServers = (container: AwilixContainer<Cradle>): void => {
	const singleton = <Value>(factory: (cradle: Cradle) => Value) => asFunction(factory).singleton();
	container.register({
		callerApp: singleton(cradle => {
			const {settings, log, router, ledger, lifecycle, metrics} = cradle;
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			const issueKey = () => ledger.issue();
			serveCalls(app, {
				router,
				issueKey,
				drainingFault: () => lifecycle.drainingFault(),
				waitUntilRejoined: async () => lifecycle.waitUntilRejoined(),
				isFromUpstream: false,
				track: lifecycle.track,
			});
			serveKeys(app, issueKey);
			serveHealth(app, {
				registry: metrics.registry,
				isReady: () => lifecycle.isReady,
			});
			return app;
		}),
		upstreamApp: singleton(({settings, log, router, ledger, lifecycle, upstream}) => {
			const app = createApp({maxBodyBytes: settings.maxBodyBytes, log});
			serveCalls(app, {
				router,
				issueKey: () => ledger.issue(),
				drainingFault: () => lifecycle.drainingFault(),
				waitUntilRejoined: async () => lifecycle.waitUntilRejoined(),
				isFromUpstream: true,
				track: lifecycle.track,
			});
			serveUpstream(app, upstream);
			return app;
		}),
	});
};
