/**
 * Types of message on a stream between nodes. A reply is named by the past participle of its
 * request, such as `probed`, except that `outcome` answers `call` and `keyQueryReply` answers
 * `keyQuery`. `hello`, `stalled`, `cancel` and `keyDone` have no reply.
 */
export const messageTypes = {
	hello: 'hello',
	call: 'call',
	outcome: 'outcome',
	stalled: 'stalled',
	cancel: 'cancel',
	probe: 'probe',
	probed: 'probed',
	sync: 'sync',
	synced: 'synced',
	keyDone: 'key-done',
	keyQuery: 'key-ask',
	keyQueryReply: 'key-told',
	count: 'count',
	counted: 'counted',
	inherit: 'inherit',
	inherited: 'inherited',
	rollUp: 'roll-up',
	rolledUp: 'rolled-up',
	drain: 'drain',
	drained: 'drained',
} as const;
