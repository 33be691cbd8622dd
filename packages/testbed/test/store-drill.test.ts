import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {StoreFleet} from '../src/harness/store-fleet.js';

const seed = 24;
const hosts = 12;
const dataCentres = 2;
const settleMs = 20_000;

/** Bound of the platform's pages for a version to be in force, from the last fault on. */
const inForceMs = 2000;

type Host = StoreFleet['network']['members'][number];
type Step = (fleet: StoreFleet, hostsOf: (mask: number) => Host[]) => void;

const idsOf = (members: readonly Host[]) => members.map(({gossip}) => gossip.self.id);

const setHosts = (set: Set<string>, members: readonly Host[]) => {
	set.clear();
	for (const id of idsOf(members)) {
		set.add(id);
	}
};

const mask = fc.nat({max: 2 ** hosts - 1});

/** Writes versions of the configuration at once, as many as given. */
const configureTimes = (fleet: StoreFleet, count: number) => {
	for (let index = 0; index < count; index++) {
		fleet.configure();
	}
};

const configure = fc.integer({min: 1, max: 3}).map((count): Step => fleet => {
	configureTimes(fleet, count);
});

/** What the operator has written is written again at once, with versions after it, or later. */
const restore = fc
	.record({
		ageMs: fc.nat({max: 4000}),
		areWatchesCut: fc.boolean(),
		versionsAfter: fc.option(fc.nat({max: 3})),
	})
	.map(({versionsAfter, ...opts}): Step => fleet => {
		fleet.restore(opts);
		if (versionsAfter !== null) {
			fleet.writeConfiguration();
			configureTimes(fleet, versionsAfter);
		}
	});

/** Some steps stand here more than once, so that they are drawn more often. */
const step: fc.Arbitrary<Step> = fc.oneof(
	configure,
	configure,
	configure,
	restore,
	restore,
	fc.constant<Step>(fleet => {
		fleet.writeConfiguration();
	}),
	mask.map((chosen): Step => (fleet, hostsOf) => {
		setHosts(fleet.turnedAway, hostsOf(chosen));
	}),
	mask.map((chosen): Step => (fleet, hostsOf) => {
		setHosts(fleet.silent, hostsOf(chosen));
	}),
	fc.constant<Step>(fleet => {
		setHosts(fleet.turnedAway, fleet.network.members);
	}),
	fc.constant<Step>(fleet => {
		fleet.silenceWatches();
	}),
	fc.nat({max: dataCentres - 1}).map((index): Step => fleet => {
		fleet.add(`dc${index + 1}`);
	}),
);

/** Often steps follow at once, before any watch of the store has ended. */
const pauseMs = fc.oneof(fc.constant(0), fc.nat({max: 3000}));

const steps = fc.array(fc.record({step, pauseMs}), {
	minLength: 1,
	maxLength: 8,
});

/** Runs the steps and resolves with the fleet after calm, and with what went back meanwhile. */
const play = async (drill: ReadonlyArray<{step: Step; pauseMs: number}>) => {
	const fleet = StoreFleet.start({seed, dataCentres, hosts});
	await fleet.clock.advance(settleMs);
	assert.equal(fleet.shareInForce, 1);
	const regressions: string[] = [];
	const highest = new Map<Host, number>();
	const hostsOf = (chosen: number) =>
		fleet.network.members.filter((_, index) => Math.floor(chosen / 2 ** index) % 2 === 1);
	const note = () => {
		for (const member of fleet.network.members) {
			const version = member.versions.get('routes') ?? 0;
			if (version < (highest.get(member) ?? 0)) {
				regressions.push(`${member.gossip.self.id} went back to ${version}`);
			}

			highest.set(member, version);
		}
	};

	for (const {step: apply, pauseMs} of drill) {
		apply(fleet, hostsOf);
		await fleet.clock.advance(pauseMs);
		note();
	}

	fleet.turnedAway.clear();
	fleet.silent.clear();
	fleet.writeConfiguration();
	await fleet.clock.advance(inForceMs);
	note();
	return {share: fleet.shareInForce, regressions};
};

/** A restore whose lost revisions are all given out again before a watch ends. */
const givenOutAgain = [
	{
		step(fleet: StoreFleet) {
			configureTimes(fleet, 2);
		},
		pauseMs: inForceMs,
	},
	{
		step(fleet: StoreFleet) {
			fleet.restore({ageMs: inForceMs + 1, areWatchesCut: false});
			fleet.writeConfiguration();
			fleet.configure();
		},
		pauseMs: 0,
	},
];

// Restores give revisions out again and lose what was written, while hosts miss answers of the store.
test('after any drill all hosts have the newest configuration, and none ever goes back', async () => {
	await fc.assert(
		fc.asyncProperty(steps, async drill => {
			assert.deepEqual(await play(drill), {share: 1, regressions: []});
		}),
		{seed, numRuns: 25, examples: [[givenOutAgain]]},
	);
});
