export type {Arrival} from './calls/arrival.js';
export type {NodeCore} from './root/node-core.js';
export type {Settings} from './settings/settings.js';
export type {UpstreamProtocol} from './upstream/upstream-protocol.js';
export type {UpstreamReply} from './upstream/upstream-reply.js';
export {Node} from './root/node.js';
export {describeSettings} from './settings/describe-settings.js';
export {readSettings} from './settings/read-settings.js';
export {version} from './version.js';
