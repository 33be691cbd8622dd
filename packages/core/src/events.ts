import type {Event} from './event.js';

const define = (code: string, level: Event['level'], text: string): Event => ({code, level, text});

/** Every event that the programs log. docs/EVENTS.md has one entry for each. */
export const events = {
	nodeReady: define('MS1001', 'info', 'node is ready'),
	nodeDraining: define('MS1002', 'info', 'node is draining'),
	nodeStopped: define('MS1003', 'info', 'node stopped'),
	settingsRejected: define('MS1004', 'error', 'settings were rejected'),
	keysHandedOver: define('MS1005', 'info', 'idempotency keys were handed over'),
	keysLost: define('MS1006', 'warn', 'idempotency keys were not handed over'),
	taskFailed: define('MS1101', 'warn', 'task failed and will be restarted'),
	taskGaveUp: define('MS1102', 'error', 'task failed too often; its supervisor stops'),
	taskStopTimeout: define('MS1103', 'warn', 'task did not stop in time'),
	upstreamAnnounced: define('MS2001', 'info', 'upstream announced itself'),
	upstreamWithdrawn: define('MS2002', 'info', 'upstream withdrew'),
	upstreamUnhealthy: define('MS2003', 'warn', 'upstream stopped answering probes'),
	upstreamCrashed: define('MS2004', 'warn', 'upstream closed its connections with work in flight'),
	connectionReplaced: define('MS2005', 'warn', 'silent upstream connection was replaced'),
	overloadStarted: define('MS2101', 'warn', 'admission started to shed'),
	overloadEnded: define('MS2102', 'info', 'admission admits everything again'),
	requestQuarantined: define(
		'MS2201',
		'warn',
		'request is held back after repeated upstream crashes',
	),
	memberJoined: define('MS3001', 'info', 'member joined the data centre'),
	memberSuspected: define('MS3002', 'info', 'member is suspected'),
	memberLeft: define('MS3003', 'info', 'member left or failed'),
	memberRefuted: define('MS3004', 'warn', 'node refuted a suspicion about itself'),
	leaseLapsed: define(
		'MS3005',
		'warn',
		'process was paused; the node rejoins before it acts again',
	),
	peerConnected: define('MS3101', 'debug', 'peer link opened'),
	peerLost: define('MS3102', 'info', 'peer link closed'),
	peerProtocolError: define('MS3103', 'warn', 'peer sent bytes that are not a message'),
	policyTaken: define('MS4001', 'info', 'policy section is in force'),
	policyRejected: define('MS4002', 'warn', 'policy section from the store could not be read'),
	storeUnavailable: define('MS4003', 'warn', 'platform store does not answer'),
	storeAvailable: define('MS4004', 'info', 'platform store answers again'),
	policyAccepted: define('MS4005', 'info', 'operator change was accepted'),
	policyRefused: define('MS4006', 'info', 'operator change was refused'),
	reportTooLarge: define('MS5001', 'warn', 'counts for the report do not fit their store object'),
} as const;
