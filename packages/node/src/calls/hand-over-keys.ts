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
const maxHeirs = 3;

/**
 * Closes the ledger of a node that stops and hands it over to one other member. Whether that member
 * was reached or not, this process never starts a key again.
 *
 * @example
 * await handOverKeys({ledger, gossip, peers});
 */
export const handOverKeys = async ({ledger, gossip, peers}: Deps): Promise<boolean> => {
	const {estates, records} = ledger.handOver();
	const ids = gossip.table.alive.map(({id}) => id).filter(id => id !== gossip.self.id);
	for (const id of rendezvous(`heir ${gossip.self.id}`, ids, maxHeirs)) {
		const heir = gossip.table.get(id)!;
		const messages = chunksOf(records);
		let isTaken = true;
		for (const chunk of messages) {
			const reply = await peers.ask(heir, seq => ({
				type: messageTypes.inherit,
				id: seq,
				records: chunk,
			}));
			isTaken &&= reply?.type === messageTypes.inherited;
		}

		if (isTaken) {
			// Once this was sent no other heir may be tried, since the first may have become the issuer.
			const reply = await peers.ask(heir, seq => ({
				type: messageTypes.inherit,
				id: seq,
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
