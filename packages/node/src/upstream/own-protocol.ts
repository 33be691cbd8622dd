import type {UpstreamProtocol} from './upstream-protocol.js';

/**
 * The project's own protocol towards upstreams, as docs/CALLERS.md describes it.
 *
 * @example
 * const slot = Slot.create({...opts, protocol: ownProtocol});
 */
export const ownProtocol: UpstreamProtocol = {
	headersFor: ({request, context}) => [
		...request.headers,
		'medlar-context',
		context,
		'medlar-deadline-ms',
		String(Math.max(0, Math.floor(request.remainingMs))),
	],
	read: answer => ({kind: 'answer', answer}),
};
