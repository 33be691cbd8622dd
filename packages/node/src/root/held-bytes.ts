const mib = 1024 * 1024;

/** Memory of the program under load, and of buffers before the collector frees them, in MB. */
const ownMb = 70;
const uncollectedMb = 64;

/** Share of the other memory that bodies may take. */
const heldShare = 0.6;

/** Shares of that for bodies of callers, and for answers and what is on the links between nodes. */
const shares = {callers: 0.45, peers: 0.45} as const;

const minHeldMb = 8;

/**
 * Bytes of bodies that a node may hold for callers and for other nodes, on a machine of this memory.
 *
 * @example
 * const {callers} = heldBytes(350); // 61 million bytes
 */
export const heldBytes = (memoryMb: number): {readonly callers: number; readonly peers: number} => {
	const bytes = Math.max(minHeldMb, (memoryMb - ownMb - uncollectedMb) * heldShare) * mib;
	return {callers: bytes * shares.callers, peers: bytes * shares.peers};
};
