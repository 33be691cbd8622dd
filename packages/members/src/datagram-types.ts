/** Types of datagram between nodes. */
export const datagramTypes = {
	ping: 'ping',
	ack: 'ack',
	/** Requests that the receiver ping another member on the sender's behalf. */
	pingRequest: 'ping-req',
	/** Carries rumors only; it is not acknowledged. */
	rumors: 'news',
	/** Reports to a collector that a section version is in force at the sender. */
	sectionInForce: 'held',
	/** Tells the members of the data centre that the sender reads the platform's store. */
	readerHeartbeat: 'reader',
} as const;
