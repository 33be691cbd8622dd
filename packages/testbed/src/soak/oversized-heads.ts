/** Length of the longest line, in bytes; a head may have 64 KiB. */
const lineBytes = 65_000;

/**
 * Heads that are as long as a node reads, each with a line that is costly to read where work grows
 * faster than the bytes.
 *
 * @example
 * socket.write(oversizedHeads[0]);
 */
export const oversizedHeads: readonly string[] = [
	`HTTP/1.1 200 OK\r\nServer-Seal: a${' '.repeat(lineBytes)}b\r\n\r\n`,
	`HTTP/1.1 200 OK\r\nServer-Seal: a${'\t'.repeat(lineBytes)}`,
	`HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(10_000)}\r\n`,
	`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(40_000)}`,
];
