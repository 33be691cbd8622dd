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
const keyCount = 20_000;
const jobCount = 2000;
const bytesPerMb = 1024 * 1024;

/**
 * Measures the heap that each part of a node's control state takes at the planned size, in
 * megabytes after a full garbage collection.
 *
 * @example
 * const {members, policy} = measureStateSize();
 */
export const measureStateSize = (): Record<string, number> => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	const retained: unknown[] = [];
	const measure = (create: () => unknown): number => {
		collectGarbage();
		const before = process.memoryUsage().heapUsed;
		retained.push(create());
		collectGarbage();
		return Number(((process.memoryUsage().heapUsed - before) / bytesPerMb).toFixed(2));
	};

	const sizes = {
		members: measure(() => memberTableOf(members)),
		policy: measure(() => createPolicy(services)),
		endpointStats: measure(createEndpointStats),
		levels: measure(createLearnedCutoffs),
		keys: measure(createKeyLedger),
	};
	// This use keeps the parts from being collected before the last one is measured.
	return retained.length > 0 ? sizes : {};
};

const createPolicy = (count: number): Policy => {
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

const createEndpointStats = (): EndpointStats => {
	const stats = EndpointStats.create();
	for (let index = 0; index < members; index++) {
		stats.noteSent(`dc1-${index}`);
	}

	return stats;
};

const createLearnedCutoffs = (): LearnedCutoffs => {
	const learnedCutoffs = LearnedCutoffs.create();
	for (let index = 0; index < jobCount; index++) {
		learnedCutoffs.learn(
			`service-${index % services}`,
			`BUREAU.1987/${index}`,
			{cutoffs: Cutoffs.of([128, 64, 1])},
			0,
		);
	}

	return learnedCutoffs;
};

const createKeyLedger = (): KeyLedger<string> => {
	const clock = ManualClock.at(createSystemClock().now());
	const ledger = KeyLedger.create<string>({
		clock,
		dataCentre: 'dc1',
		node: 'dc1-1',
		incarnation: 1,
		secret: 's',
	});
	for (let index = 0; index < keyCount; index++) {
		const key = IdempotencyKey.parse(ledger.issue())._unsafeUnwrap();
		ledger.begin(key, 'fingerprint');
		ledger.finish(key, `answer ${index}`);
	}

	return ledger;
};
