/** Types of datagram between nodes. */
export const datagramTypes = {
	ping: 'ping',
	ack: 'ack',
	pingRequest: 'ping-req',
	news: 'news',
	held: 'held',
} as const;
