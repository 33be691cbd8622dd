import type {Policy, Terms} from '@medlarsaddle/policy';
import type {Incoming} from './incoming.js';

/**
 * Terms of an incoming call. A call that its upstream did not tie to a request gets the lowest rank
 * and no retries; a caller's hint can only lower the rank.
 *
 * @example
 * const terms = termsFor(policy, incoming, false);
 */
export const termsFor = (policy: Policy, incoming: Incoming, hasParent: boolean): Terms => {
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
