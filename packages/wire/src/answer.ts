/**
 * The complete HTTP response of an upstream.
 *
 * @example
 * reply.code(answer.status).send(answer.body);
 */
export type Answer = {
	readonly kind: 'answer';
	readonly status: number;
	/** Names and values alternate; names are in lower case. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
