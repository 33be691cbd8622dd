import type {Random} from '@medlarsaddle/core';

type Result = {
	/** Rounds until all have heard that will. */
	readonly rounds: number;
	/** Rounds until nobody sends any more. */
	readonly quietRounds: number;
	readonly messages: number;
	/** Share of the living members that have heard. */
	readonly reached: number;
};

type Member = {
	counter: number;
	/** Rounds that are left to send in, once the counter is full. */
	tail: number;
};

/** A rumor stops at this many times the logarithm of the number of members, in rounds. */
const ageFactor = 4;

/**
 * Spreads one rumor by push and pull with the median-counter stop (Janson, 2006, section 2.2): each
 * round every living member calls one neighbour; the rumor passes either way; a member's counter
 * rises when most of those it met are at least as far, and is full at once when it meets a full one;
 * with a full counter it sends for a few rounds more. A rumor has a greatest age besides.
 *
 * @example
 * const {rounds, messages} = spreadRounds(edges, isAlive, random);
 */
export const spreadRounds = (
	edges: readonly number[][],
	isAlive: (member: number) => boolean,
	random: Random,
): Result => {
	const alive = edges.map((_neighbours, member) => member).filter(member => isAlive(member));
	const fullCounter = Math.max(2, Math.ceil(Math.log2(Math.log2(edges.length))) + 1);
	const heard = new Map<number, Member>([[alive[0]!, {counter: 1, tail: fullCounter}]]);
	let messages = 0;
	let rounds = 0;
	let lastNewsRound = 0;
	const maxAge = Math.ceil(ageFactor * Math.log2(edges.length));
	const sends = (member: number) => (heard.get(member)?.tail ?? 0) > 0;
	while (rounds < maxAge && alive.some(member => sends(member))) {
		rounds++;
		const met = new Map<number, number[]>();
		const news: number[] = [];
		for (const caller of alive) {
			const neighbours = edges[caller]!;
			const callee = neighbours[random.below(neighbours.length)];
			if (callee === undefined || !isAlive(callee)) {
				continue;
			}

			for (const [from, to] of [
				[caller, callee],
				[callee, caller],
			] as const) {
				if (!sends(from)) {
					continue;
				}

				messages++;
				if (heard.has(to)) {
					met.set(to, [...(met.get(to) ?? []), heard.get(from)!.counter]);
				} else {
					news.push(to);
				}
			}
		}

		for (const [id, member] of heard) {
			advance(member, met.get(id) ?? [], fullCounter);
		}

		lastNewsRound = news.length > 0 ? rounds : lastNewsRound;
		for (const member of news) {
			heard.set(member, {counter: 1, tail: fullCounter});
		}
	}

	return {rounds: lastNewsRound, quietRounds: rounds, messages, reached: heard.size / alive.length};
};

const advance = (member: Member, counters: readonly number[], fullCounter: number): void => {
	if (member.counter >= fullCounter) {
		member.tail--;
		return;
	}

	const further = counters.filter(counter => counter >= member.counter).length;
	if (counters.some(counter => counter >= fullCounter)) {
		member.counter = fullCounter;
	} else if (further * 2 > counters.length) {
		member.counter++;
	}
};
