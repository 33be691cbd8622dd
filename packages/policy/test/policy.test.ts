import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {compileGlob} from '../src/compile-glob.js';
import {Policy, type Section, parseSection, policyWarnings} from '../src/index.js';

const seed = 11;

const section = (name: string, text: string, version = 1): Section => ({
	name,
	version,
	changeId: `c${version}`,
	author: 'test',
	atMs: 0,
	text,
});

const base = section(
	'base',
	`kind: base
ranks:
  - name: critical
  - name: normal
    floorShare: 0.1
defaults:
  rank: normal
`,
);

const jobs = section(
	'payment',
	`kind: service
service: payment
jobs:
  - match: {pattern: "DTI*.pay*"}
    rank: normal
    retries: 1
  - match: {prefix: "DTI-OLD/"}
    rank: normal
    retries: 2
  - match: {prefix: "DTI-OLD/fee"}
    rank: normal
    retries: 3
  - match: {exact: "DTI-OLD/fee.pay é ő"}
    rank: critical
    retries: 4
  - match: {prefix: "DTI-OLD/FEE"}
    rank: normal
    retries: 5
  - match: {prefix: "DTI-OLD/FEE"}
    rank: normal
    retries: 6
`,
);

const policy = Policy.empty().with(base)._unsafeUnwrap().with(jobs)._unsafeUnwrap();

const cases = [
	['DTI-OLD/fee.pay é ő', 4, 'an exact rule takes precedence over a prefix'],
	['DTI-OLD/fee.refund', 3, 'the longer prefix takes precedence'],
	['DTI-OLD/x', 2, 'a prefix takes precedence over a pattern'],
	['DTI.new.payment', 1, 'a pattern matches'],
	['DTI-OLD/FEE', 5, 'of equally specific rules the first one wins'],
	['dti-old/fee', 0, 'matching is case-sensitive'],
	['OLD/fee', 0, 'a prefix matches only at the start'],
	['', 0, 'an empty name gets the defaults'],
] as const;

for (const [job, retries, why] of cases) {
	test(`job "${job}" gets ${retries} retries: ${why}`, () => {
		assert.equal(policy.termsFor('payment', job).retries, retries);
	});
}

test('a glob pattern matches the same names as the equivalent regular expression', () => {
	const text = fc
		.array(fc.constantFrom('a', 'b', '.'), {maxLength: 8})
		.map(parts => parts.join(''));
	const pattern = fc.array(fc.constantFrom('a', 'b', '.', '*'), {maxLength: 6});
	fc.assert(
		fc.property(pattern, text, (parts, name) => {
			const glob = parts.join('');
			const source = parts.map(part => (part === '*' ? '.*' : part.replace('.', String.raw`\.`)));
			assert.equal(compileGlob(glob)(name), new RegExp(`^${source.join('')}$`, 'v').test(name));
		}),
		{seed, numRuns: 2000},
	);
});

test('an older or equal version never replaces a newer one', () => {
	const newer = policy.with(section('base', base.text, 5))._unsafeUnwrap();
	assert.equal(newer.with(section('base', base.text, 4))._unsafeUnwrap(), newer);
	assert.equal(newer.versionOf('base'), 5);
});

test('the fault of a malformed section lists every error with its path and line', () => {
	const text =
		'kind: service\nservice: map\njobs:\n  - match: {exact: a}\n    rank: 3\n    retries: -1\n';
	const fault = parseSection(text)._unsafeUnwrapErr();
	assert.match(fault.message, /line 5, jobs\.0\.rank/v);
	assert.match(fault.message, /line 6, jobs\.0\.retries/v);
	assert.match(fault.message, /Correct the lines/v);
});

test('the parser never throws, whatever the text', () => {
	fc.assert(
		fc.property(fc.string({unit: 'binary'}), text => {
			parseSection(text);
		}),
		{seed},
	);
});

test('a policy that would refuse urgent requests has warnings', () => {
	const greedy = base.text
		.replace('0.1', '0.5')
		.replace('defaults', '  - name: low\n    floorShare: 0.4\ndefaults');
	const candidate = Policy.empty().with(section('base', greedy))._unsafeUnwrap();
	assert.match(
		policyWarnings(candidate).join(','),
		/keep 90% of each upstream from rank critical/v,
	);
	assert.deepEqual(policyWarnings(policy), []);
});

test('a second section for the same service is rejected, and the fault names the existing one', () => {
	const duplicate = policy.with(section('other', jobs.text));
	assert.match(duplicate._unsafeUnwrapErr().message, /Put the change to section payment/v);
});
