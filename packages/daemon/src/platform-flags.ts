import type {PlatformSettings} from '@medlarsaddle/platform';

/** Callers ask for readiness once a second and turn away after two misses; 400 ms are slack. */
const noticeMs = 2400;

/** Left of the time to stop for ending the process, in milliseconds. */
const stopReserveMs = 600;

/** Share of the retries allowed that is used; the rest is for views that differ between nodes. */
const ownRetryShare = 0.6;

/**
 * The node's own flags for what the platform tells it.
 *
 * @example
 * const settings = readSettings(platformFlags(platform), process.env);
 */
export const platformFlags = (platform: PlatformSettings): string[] => {
	const {nodeId, dataCentre, region, host, peerPort, seeds, stopMs, service} = platform;
	const flags = {
		'node-id': nodeId,
		'data-centre': dataCentre,
		group: region,
		host,
		'peer-port': peerPort,
		seeds: seeds.join(','),
		...(service === '' ? {} : {service}),
		'retry-ratio': platform.retryRatio * ownRetryShare,
		'retry-burst': platform.retrySlack * ownRetryShare,
		'notice-ms': noticeMs,
		'stop-seconds': Math.max(0, stopMs - noticeMs - stopReserveMs) / 1000,
	};
	return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
};
