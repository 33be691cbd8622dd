import type {Address} from './address.js';
import type {Member} from './member.js';

/**
 * Returns the address at which a member receives datagrams.
 *
 * @example
 * datagramSender.send(addressOf(member), datagramTypes.rumors, rumors);
 */
export const addressOf = ({host, peerPort}: Member): Address => ({host, port: peerPort});
