import type {Policy, Terms} from '@medlarsaddle/policy';
import type {IncomingCall} from './incoming-call.js';

/**
 * Returns the terms of an incoming call. A call from the upstream without the context of a request
 * gets the lowest rank and no retries. A rank hint of the caller can only lower the rank.
 *
 * @example
 * const terms = termsFor(policy, incoming, false);
 */
export const termsFor = (policy: Policy, incoming: IncomingCall, hasParent: boolean): Terms => {
	const terms = policy.termsFor(incoming.service, incoming.job);
	if (hasParent) {
		return terms;
	}

	const {ranks} = policy.base;
	if (incoming.isFromUpstream) {
		const rank = ranks.length - 1;
		return {...terms, rank, rankName: ranks[rank]!.name, retries: 0};
	}

	const hinted = incoming.rankHint === undefined ? -1 : policy.rankIndex(incoming.rankHint);
	const mayHint = ranks[terms.rank]?.rankHint ?? false;
	return mayHint && hinted > terms.rank
		? {...terms, rank: hinted, rankName: ranks[hinted]!.name}
		: terms;
};
