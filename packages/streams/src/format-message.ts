/**
 * Formats a message as the bytes of its head and body in one buffer, so that it takes one write.
 * Header values are limited to Latin-1, as they were received.
 *
 * @example
 * socket.write(formatMessage('GET / HTTP/1.1', ['host', 'shop.example'], new Uint8Array()));
 */
export const formatMessage = (
	firstLine: string,
	headers: readonly string[],
	body: Uint8Array,
): Buffer => {
	let head = firstLine;
	for (let index = 0; index + 1 < headers.length; index += 2) {
		head += `\r\n${headers[index]!}: ${headers[index + 1]!}`;
	}

	head += '\r\n\r\n';
	const message = Buffer.allocUnsafe(head.length + body.length);
	message.write(head, 'latin1');
	message.set(body, head.length);
	return message;
};
