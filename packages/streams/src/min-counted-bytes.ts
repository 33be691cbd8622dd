/** Bodies up to this size are bounded by the number of connections, and never wait for room. */
export const minCountedBytes = 16 * 1024;
