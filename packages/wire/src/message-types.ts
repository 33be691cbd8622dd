/** Types of message on a stream between nodes. */
export const messageTypes = {
	hello: 'hello',
	call: 'call',
	outcome: 'outcome',
	cancel: 'cancel',
	probe: 'probe',
	probed: 'probed',
	sync: 'sync',
	synced: 'synced',
	keyDone: 'key-done',
	keyAsk: 'key-ask',
	keyTold: 'key-told',
	count: 'count',
	counted: 'counted',
	drain: 'drain',
	drained: 'drained',
} as const;
