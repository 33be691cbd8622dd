export type {Address} from './address.js';
export type {Datagram} from './datagram.js';
export type {Member} from './member.js';
export type {OfferedService} from './offered-service.js';
export type {Rumor} from './rumor.js';
export {Gossip} from './gossip.js';
export {gossipTiming} from './gossip-timing.js';
export {memberStates} from './member-states.js';
export {rumorKinds} from './rumor-kinds.js';
