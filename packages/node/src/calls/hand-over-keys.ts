import {rendezvous} from '@medlarsaddle/core';
import type {KeyLedger} from '@medlarsaddle/control';
import type {Gossip} from '@medlarsaddle/members';
import {type CallOutcome, type MessageOf, messageTypes} from '@medlarsaddle/wire';
import type {Peers} from '../peers/peers.js';

type Deps = {
	readonly ledger: KeyLedger<CallOutcome>;
	readonly gossip: Gossip;
	readonly peers: Peers;
};

type KeyRecords = MessageOf<'inherit'>['records'];

const recordsPerMessage = 500;
const maxMessageBytes = 1024 * 1024;
const maxSuccessorCandidates = 3;

/**
 * Closes the key ledger of a stopping node and hands it over to one other member. This process
 * never starts a keyed request again, even if no member could be reached.
 *
 * @example
 * await handOverKeys({ledger, gossip, peers});
 */
export const handOverKeys = async ({ledger, gossip, peers}: Deps): Promise<boolean> => {
	const {estates, records} = ledger.handOver();
	const ids = gossip.table.alive.map(({id}) => id).filter(id => id !== gossip.self.id);
	for (const id of rendezvous(`heir ${gossip.self.id}`, ids, maxSuccessorCandidates)) {
		const successor = gossip.table.get(id)!;
		const chunks = chunksOf(records);
		let isAccepted = true;
		for (const chunk of chunks) {
			const reply = await peers.request(successor, requestId => ({
				type: messageTypes.inherit,
				id: requestId,
				records: chunk,
			}));
			isAccepted &&= reply?.type === messageTypes.inherited;
		}

		if (isAccepted) {
			// After this message no other successor may be tried; this one may have become the issuer.
			const reply = await peers.request(successor, requestId => ({
				type: messageTypes.inherit,
				id: requestId,
				records: [],
				estates,
			}));
			return reply?.type === messageTypes.inherited;
		}
	}

	return false;
};

const chunksOf = (records: KeyRecords): KeyRecords[] => {
	const chunks: Array<Array<KeyRecords[number]>> = [];
	let bytes = Number.POSITIVE_INFINITY;
	for (const record of records) {
		const size = answerBytes(record);
		const last = chunks.at(-1);
		if (!last || last.length >= recordsPerMessage || bytes + size > maxMessageBytes) {
			chunks.push([record]);
			bytes = size;
		} else {
			last.push(record);
			bytes += size;
		}
	}

	return chunks;
};

const answerBytes = ({answer}: KeyRecords[number]): number =>
	answer?.result.kind === 'answer' ? answer.result.body.length : 0;
