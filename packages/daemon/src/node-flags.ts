import type {PlatformSettings} from '@medlarsaddle/platform';

/** Callers check readiness once a second and leave after two failures; 400 ms are a margin. */
const maxNoticeMs = 2400;

/** Part of the stop time that is reserved for ending the process, in milliseconds. */
const maxStopReserveMs = 600;

/** Largest shares of the stop time that notice and reserve take where it is short. */
const noticeShare = 0.4;
const stopReserveShare = 0.1;

/** Share of the allowed retries that is used; the rest allows for nodes whose views differ. */
const retryBudgetShare = 0.6;

/**
 * Converts the settings of the platform to flags of the node.
 *
 * @example
 * const settings = readSettings(nodeFlags(platform), process.env);
 */
export const nodeFlags = (platform: PlatformSettings): string[] => {
	const {nodeId, dataCentre, region, host, peerPort, seeds, stopMs, service} = platform;
	const {memoryMb, maxDescriptors} = platform;
	const noticeMs = Math.round(Math.min(maxNoticeMs, stopMs * noticeShare));
	const stopReserveMs = Math.min(maxStopReserveMs, stopMs * stopReserveShare);
	const flags = {
		'node-id': nodeId,
		'data-centre': dataCentre,
		group: region,
		host,
		'peer-port': peerPort,
		seeds: seeds.join(','),
		...(service === '' ? {} : {service}),
		'retry-ratio': platform.retryRatio * retryBudgetShare,
		'retry-burst': platform.retryBurst * retryBudgetShare,
		'notice-ms': noticeMs,
		...(memoryMb === undefined ? {} : {'memory-mb': memoryMb}),
		...(maxDescriptors === undefined ? {} : {'max-descriptors': maxDescriptors}),
		'stop-seconds': (stopMs - noticeMs - stopReserveMs) / 1000,
	};
	return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
};
