/** Length of the longest line, in bytes; a head may have 64 KiB. */
const lineBytes = 65_000;

/**
 * Answers that are costly to read where work grows faster than the bytes: heads as long as a node
 * reads, one of them without an end, and bodies in chunks of one byte, also with extensions, without an
 * end.
 *
 * @example
 * socket.write(oversizedHeads[0]);
 */
export const oversizedHeads: readonly string[] = [
	`HTTP/1.1 200 OK\r\nServer-Seal: a${' '.repeat(lineBytes)}b\r\n\r\n`,
	`HTTP/1.1 200 OK\r\nServer-Seal: a${'\t'.repeat(lineBytes)}`,
	`HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(10_000)}\r\n`,
	`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(40_000)}`,
	`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${`1;${'x'.repeat(190)}\r\na\r\n`.repeat(40_000)}`,
];
