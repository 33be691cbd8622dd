import {type Random, createRandom} from '@medlarsaddle/core';
import {linkFaults} from './link-faults.js';
import type {Step} from './step.js';

type Opts = {
	readonly seed: number;
	readonly hosts: number;
	/** How long steps may begin, in milliseconds. */
	readonly lengthMs: number;
};

/** Mean time between the starts of two series of steps, in milliseconds. */
const gapMs = 1500;

/** Most repetitions of a step in a series, and the pause between them in milliseconds. */
const maxSeries = 3;
const seriesGapMs = 700;

/** Longest disturbance, in milliseconds: beyond the timeouts of the node, which are 1.2 s and less. */
const maxHarmMs = 3000;

const links = ['callers', 'upstream', 'peers', 'store'] as const;
const harms = Object.values(linkFaults).filter(fault => fault !== linkFaults.none);

/**
 * Draws the steps of a soak, in the order of their times. Steps come in series, and series overlap.
 *
 * @example
 * const steps = drawSteps({seed: 7, hosts: 4, lengthMs: 20_000});
 */
export const drawSteps = ({seed, hosts, lengthMs}: Opts): readonly Step[] => {
	const random = createRandom(seed);
	const steps: Step[] = [];
	for (let atMs = gapMs; atMs < lengthMs; atMs += random.next() * 2 * gapMs) {
		const step = drawStep(random, hosts, atMs);
		const repetitions = 1 + random.below(maxSeries);
		for (let count = 0; count < repetitions; count++) {
			steps.push({...step, atMs: atMs + count * (step.forMs + seriesGapMs)});
		}
	}

	return steps.toSorted((one, other) => one.atMs - other.atMs);
};

const drawStep = (random: Random, hosts: number, atMs: number): Step => {
	const host = random.below(hosts);
	const forMs = Math.round(random.next() * maxHarmMs);
	const draw = makers[random.below(makers.length)]!;
	return draw({random, host, atMs, forMs});
};

type Drawn = {
	readonly random: Random;
	readonly host: number;
	readonly atMs: number;
	readonly forMs: number;
};

const onHost =
	(kind: 'pause' | 'kill' | 'stop' | 'reload' | 'drain' | 'crash-upstream', lasts = false) =>
	({host, atMs, forMs}: Drawn): Step => ({kind, host, atMs, forMs: lasts ? forMs : 0});

const onStore =
	(kind: 'store-down' | 'store-slow' | 'store-forgets' | 'store-loses-answers') =>
	({atMs, forMs}: Drawn): Step => ({kind, atMs, forMs});

const onLink = ({random, host, atMs, forMs}: Drawn): Step => ({
	kind: 'link',
	host,
	link: links[random.below(links.length)]!,
	fault: harms[random.below(harms.length)]!,
	atMs,
	forMs,
});

const configure = ({atMs}: Drawn): Step => ({kind: 'configure', atMs, forMs: 0});

/** Each kind as often as it stands here. */
const makers: ReadonlyArray<(drawn: Drawn) => Step> = [
	onLink,
	onLink,
	onLink,
	onLink,
	onHost('pause', true),
	onHost('kill'),
	onHost('stop'),
	onHost('stop'),
	onHost('reload'),
	onHost('drain'),
	onHost('crash-upstream'),
	onStore('store-down'),
	onStore('store-slow'),
	onStore('store-forgets'),
	onStore('store-loses-answers'),
	configure,
	configure,
];
