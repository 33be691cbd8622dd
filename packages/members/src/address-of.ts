import type {Address} from './address.js';
import type {Member} from './member.js';

/**
 * Where a member takes datagrams.
 *
 * @example
 * outbox.send(addressOf(member), datagramTypes.news, rumors);
 */
export const addressOf = ({host, peerPort}: Member): Address => ({host, port: peerPort});
