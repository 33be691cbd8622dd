import {type Random, createRandom} from '@medlarsaddle/core';
import {linkFaults} from './link-faults.js';
import type {Step} from './step.js';

type Opts = {
	readonly seed: number;
	readonly hosts: number;
	/** Length of the period in which a series of steps may start, in milliseconds. */
	readonly lengthMs: number;
};

/** Mean interval between the starts of two series of steps, in milliseconds. */
const meanIntervalMs = 1500;

/** Maximum number of steps in a series, and the pause between them in milliseconds. */
const maxSeriesLength = 3;
const repetitionPauseMs = 700;

/**
 * Maximum duration of a fault, in milliseconds. It exceeds the timeouts of the node, which are at most
 * 1.2 s.
 */
const maxFaultMs = 3000;

/** Interval between two added steps, in milliseconds. */
const addedIntervalMs = 5000;
const addedSeedOffset = 1_000_000;

/** Time in which calls on connections that were silenced are given up: that of their route. */
const silenceMs = 2000;

const linkNames = ['callers', 'upstream', 'peers', 'store'] as const;
const activeLinkFaults = Object.values(linkFaults).filter(fault => fault !== linkFaults.none);

/**
 * Draws the steps of a soak from a seed, sorted by start time. Each step is repeated in a series, and
 * series may overlap.
 *
 * @example
 * const steps = drawSteps({seed: 7, hosts: 4, lengthMs: 20_000});
 */
export const drawSteps = ({seed, hosts, lengthMs}: Opts): readonly Step[] => {
	const random = createRandom(seed);
	const steps: Step[] = [];
	for (let atMs = meanIntervalMs; atMs < lengthMs; atMs += random.next() * 2 * meanIntervalMs) {
		const step = drawStep(random, hosts, atMs);
		const seriesLength = 1 + random.below(maxSeriesLength);
		for (let index = 0; index < seriesLength; index++) {
			steps.push({...step, atMs: atMs + index * (step.forMs + repetitionPauseMs)});
		}
	}

	steps.push(...drawAddedSteps({seed, hosts, lengthMs}));
	return steps.toSorted((one, other) => one.atMs - other.atMs);
};

/** Kinds that were added later have random numbers of their own, so that a seed keeps its other steps. */
const drawAddedSteps = ({seed, hosts, lengthMs}: Opts): Step[] => {
	const random = createRandom(seed + addedSeedOffset);
	const steps: Step[] = [];
	for (let atMs = random.next() * addedIntervalMs; atMs < lengthMs; atMs += addedIntervalMs) {
		const createStep = addedStepFactories[random.below(addedStepFactories.length)]!;
		steps.push(createStep({random, host: random.below(hosts), atMs, forMs: silenceMs}));
	}

	return steps;
};

const drawStep = (random: Random, hosts: number, atMs: number): Step => {
	const host = random.below(hosts);
	const forMs = Math.round(random.next() * maxFaultMs);
	const createStep = stepFactories[random.below(stepFactories.length)]!;
	return createStep({random, host, atMs, forMs});
};

type StepOpts = {
	readonly random: Random;
	readonly host: number;
	readonly atMs: number;
	readonly forMs: number;
};

const hostStep =
	(
		kind: Extract<Step, {host: number}>['kind'] & Exclude<Step['kind'], 'link'>,
		hasDuration = false,
	) =>
	({host, atMs, forMs}: StepOpts): Step => ({kind, host, atMs, forMs: hasDuration ? forMs : 0});

const storeStep =
	(kind: 'store-down' | 'store-slow' | 'store-forgets' | 'store-loses-answers') =>
	({atMs, forMs}: StepOpts): Step => ({kind, atMs, forMs});

const linkStep = ({random, host, atMs, forMs}: StepOpts): Step => ({
	kind: 'link',
	host,
	link: linkNames[random.below(linkNames.length)]!,
	fault: activeLinkFaults[random.below(activeLinkFaults.length)]!,
	atMs,
	forMs,
});

const restoreStep = ({random, atMs, forMs}: StepOpts): Step => ({
	kind: 'store-restored',
	areWatchesCut: random.below(2) === 0,
	atMs,
	forMs,
});

const configureStep = ({atMs}: StepOpts): Step => ({kind: 'configure', atMs, forMs: 0});

/** A kind of step is drawn in proportion to the number of its entries here. */
const stepFactories: ReadonlyArray<(opts: StepOpts) => Step> = [
	linkStep,
	linkStep,
	linkStep,
	linkStep,
	hostStep('pause', true),
	hostStep('kill'),
	hostStep('stop'),
	hostStep('stop'),
	hostStep('reload'),
	hostStep('drain'),
	hostStep('depart-and-kill'),
	hostStep('spoil'),
	hostStep('crash-upstream'),
	storeStep('store-down'),
	storeStep('store-slow'),
	storeStep('store-forgets'),
	storeStep('store-loses-answers'),
	restoreStep,
	configureStep,
	configureStep,
];

/** A stop of the first host meets clients whose requests come from that host only. */
const addedStepFactories: ReadonlyArray<(opts: StepOpts) => Step> = [
	({atMs}) => ({kind: 'stop', host: 0, atMs, forMs: 0}),
	hostStep('foreign-report-and-drain'),
	hostStep('silence-and-drain', true),
];
