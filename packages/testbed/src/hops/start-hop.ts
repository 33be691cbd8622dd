/**
 * Starts a server that forwards calls to a port in one particular way; resolves with its own port.
 *
 * @example
 * const port = await startHop(targetPort);
 */
export type StartHop = (targetPort: number) => Promise<number>;
