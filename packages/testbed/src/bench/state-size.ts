import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {ManualClock, createSystemClock} from '@medlarsaddle/core';
import {
	Cutoffs,
	EndpointStats,
	IdempotencyKey,
	KeyLedger,
	LearnedCutoffs,
} from '@medlarsaddle/control';
import {Policy} from '@medlarsaddle/policy';
import {memberTableOf} from '../harness/member-table-of.js';
import {sectionText} from './section-text.js';

const members = 938;
const services = 550;
const keys = 20_000;
const jobsInUse = 2000;
const bytesPerMb = 1024 * 1024;

/**
 * Heap that each part of a node's control state takes at the planned size, in megabytes, measured
 * after a full collection.
 *
 * @example
 * const {members, policy} = stateSize();
 */
export const stateSize = (): Record<string, number> => {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	const kept: unknown[] = [];
	const measure = (make: () => unknown): number => {
		collect();
		const before = process.memoryUsage().heapUsed;
		kept.push(make());
		collect();
		return Number(((process.memoryUsage().heapUsed - before) / bytesPerMb).toFixed(2));
	};

	const sizes = {
		members: measure(() => memberTableOf(members)),
		policy: measure(() => policyOf(services)),
		endpointStats: measure(statsOf),
		levels: measure(levelsOf),
		keys: measure(ledgerOf),
	};
	// The parts must live until the last one is measured.
	return kept.length > 0 ? sizes : {};
};

const policyOf = (count: number): Policy => {
	let policy = Policy.empty();
	for (let index = 0; index < count; index++) {
		const name = `service-${index}`;
		const text = sectionText(name, index);
		policy = policy
			.with({name, version: 1, changeId: `c${index}`, author: 'a', atMs: 0, text})
			._unsafeUnwrap();
		policy.termsFor(name, 'BUREAU.1987/x');
	}

	return policy;
};

const statsOf = (): EndpointStats => {
	const stats = EndpointStats.create();
	for (let index = 0; index < members; index++) {
		stats.noteSent(`dc1-${index}`);
	}

	return stats;
};

const levelsOf = (): LearnedCutoffs => {
	const book = LearnedCutoffs.create();
	for (let index = 0; index < jobsInUse; index++) {
		book.learn(
			`service-${index % services}`,
			`BUREAU.1987/${index}`,
			{cutoffs: Cutoffs.of([128, 64, 1])},
			0,
		);
	}

	return book;
};

const ledgerOf = (): KeyLedger<string> => {
	const clock = ManualClock.at(createSystemClock().now());
	const ledger = KeyLedger.create<string>({
		clock,
		dataCentre: 'dc1',
		node: 'dc1-1',
		incarnation: 1,
		secret: 's',
	});
	for (let index = 0; index < keys; index++) {
		const key = IdempotencyKey.parse(ledger.issue())._unsafeUnwrap();
		ledger.begin(key, 'fingerprint');
		ledger.finish(key, `answer ${index}`);
	}

	return ledger;
};
