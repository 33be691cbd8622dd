import type {Random} from '@medlarsaddle/core';

type Result = {
	/** Rounds until the last member that the rumor reaches has received it. */
	readonly rounds: number;
	/** Rounds until no member sends any more. */
	readonly quietRounds: number;
	readonly messages: number;
	/** Share of the live members that received the rumor. */
	readonly reached: number;
};

type RumorState = {
	counter: number;
	/** Rounds in which the member still sends once its counter is full. */
	remainingRounds: number;
};

/** A rumor ends after this many times log2 of the number of members, in rounds. */
const maxAgeFactor = 4;

/**
 * Simulates one rumor that spreads by push and pull with the median-counter rule (Janson, 2006,
 * section 2.2). In each round every live member contacts one neighbour, and the rumor passes in
 * both directions. A member's counter rises if most of the counters it received are at least as
 * high, and becomes full if one of them is full. A member with a full counter sends for a few more
 * rounds. The age of a rumor is limited as well.
 *
 * @example
 * const {rounds, messages} = simulateRumor(edges, isAlive, random);
 */
export const simulateRumor = (
	edges: readonly number[][],
	isAlive: (member: number) => boolean,
	random: Random,
): Result => {
	const alive = edges.map((_neighbours, member) => member).filter(member => isAlive(member));
	const fullCounter = Math.max(2, Math.ceil(Math.log2(Math.log2(edges.length))) + 1);
	const informed = new Map<number, RumorState>([
		[alive[0]!, {counter: 1, remainingRounds: fullCounter}],
	]);
	let messages = 0;
	let rounds = 0;
	let lastSpreadRound = 0;
	const maxAge = Math.ceil(maxAgeFactor * Math.log2(edges.length));
	const isSending = (member: number) => (informed.get(member)?.remainingRounds ?? 0) > 0;
	while (rounds < maxAge && alive.some(member => isSending(member))) {
		rounds++;
		const receivedCounters = new Map<number, number[]>();
		const newlyInformed: number[] = [];
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
				if (!isSending(from)) {
					continue;
				}

				messages++;
				if (informed.has(to)) {
					receivedCounters.set(to, [
						...(receivedCounters.get(to) ?? []),
						informed.get(from)!.counter,
					]);
				} else {
					newlyInformed.push(to);
				}
			}
		}

		for (const [id, state] of informed) {
			updateState(state, receivedCounters.get(id) ?? [], fullCounter);
		}

		lastSpreadRound = newlyInformed.length > 0 ? rounds : lastSpreadRound;
		for (const member of newlyInformed) {
			informed.set(member, {counter: 1, remainingRounds: fullCounter});
		}
	}

	return {
		rounds: lastSpreadRound,
		quietRounds: rounds,
		messages,
		reached: informed.size / alive.length,
	};
};

const updateState = (state: RumorState, counters: readonly number[], fullCounter: number): void => {
	if (state.counter >= fullCounter) {
		state.remainingRounds--;
		return;
	}

	const atLeastAsHigh = counters.filter(counter => counter >= state.counter).length;
	if (counters.some(counter => counter >= fullCounter)) {
		state.counter = fullCounter;
	} else if (atLeastAsHigh * 2 > counters.length) {
		state.counter++;
	}
};
