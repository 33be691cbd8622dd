/**
 * A small server that passes calls on in one way, so that ways can be compared.
 *
 * @example
 * const port = await startHop(targetPort);
 */
export type HopServer = (targetPort: number) => Promise<number>;
