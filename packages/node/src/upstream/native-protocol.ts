import type {UpstreamProtocol} from './upstream-protocol.js';

/**
 * The native protocol between node and upstream, as described in docs/CALLERS.md.
 *
 * @example
 * const upstream = UpstreamProxy.create({...opts, protocol: nativeProtocol});
 */
export const nativeProtocol: UpstreamProtocol = {
	headersFor: ({request, context}) => [
		...request.headers,
		'medlar-context',
		context,
		'medlar-deadline-ms',
		String(Math.max(0, Math.floor(request.remainingMs))),
	],
	read: answer => ({kind: 'answer', answer}),
};
