import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import type {Clock, Random} from '@medlarsaddle/core';
import {RoutedUpstream} from '../upstream/routed-upstream.js';
import {answerBodyOf} from './answer-body-of.js';
import {innerCalls} from './inner-calls.js';
import type {UpstreamRun} from './upstream-run.js';

type InnerCall = {
	readonly id: string;
	readonly prefix: string;
	/** Time that is left for the call above, in milliseconds. */
	readonly deadlineMs: number;
	/** Aborts when the call above is given up. */
	readonly signal: AbortSignal;
};

type Opts = {
	readonly service: string;
	readonly instance: string;
	/** Number of the upstream on its host, counted from 1. */
	readonly instanceNumber: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called when the upstream starts to execute a call. */
	readonly onRun: (run: UpstreamRun) => void;
	/** Makes a call below the one that is executed, through the node on the host of the upstream. */
	readonly callInner: (inner: InnerCall) => Promise<unknown>;
	/** Bytes that are sent in place of the next answer; undefined when it is to be sound. */
	readonly nextSpoiltAnswer: () => string | undefined;
};

type Spell = {
	/** When the upstream begins to be slow in each period, in milliseconds. */
	readonly slowAtMs: number;
	/** Whether the upstream has ended, and its connections with it. */
	readonly isStopped: () => boolean;
};

/** Minimum execution time of a call, in milliseconds; the maximum is twice as long. */
const minWorkMs = 20;

/** Share of the calls that make a call below, on the routes that have one. */
const innerCallShare = 0.5;

/** Each upstream is slow for a while in each period, at a time of its own, in milliseconds. */
const slowPeriodMs = 8000;
const slowForMs = 1500;
const slowWorkMs = 1000;

/** Share of the answers without a content length, which end with the connection. */
const unframedShare = 0.1;

/** Pause in an answer without a content length, in which its connection may fail, in milliseconds. */
const unframedPauseMs = 80;

/**
 * Starts an upstream that reports each call that it starts to execute.
 *
 * @example
 * const upstream = await startSoakUpstream({service: 'pay', instance: 'i-a-1', instanceNumber: 1, ...opts});
 */
export const startSoakUpstream = async (opts: Opts): Promise<RoutedUpstream> => {
	const upstream = await RoutedUpstream.start(opts.service, opts.instance, opts.instanceNumber);
	const slowAtMs = opts.random.next() * slowPeriodMs;
	upstream.handler = (req, res) => {
		void serve({...opts, slowAtMs, isStopped: () => upstream.isStopped}, req, res);
	};

	return upstream;
};

const serve = async (
	{
		service,
		instance,
		clock,
		random,
		onRun,
		callInner,
		nextSpoiltAnswer,
		slowAtMs,
		isStopped,
	}: Opts & Spell,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> => {
	const id = String(req.headers['attempt-id']);
	try {
		const body = await text(req);
		const target = req.url ?? '';
		const startMs = clock.monotonic();
		const run: UpstreamRun = {id, instance, service, target, body, atMs: startMs};
		onRun(run);
		const givenUp = new AbortController();
		let isAtWork = true;
		res.once('close', () => {
			if (isAtWork && !isStopped()) {
				run.cutMs = clock.monotonic();
				givenUp.abort();
			}
		});
		const isSlow = (startMs + slowAtMs) % slowPeriodMs < slowForMs;
		const isLong = isSlow || target.startsWith('/desk/');
		await setTimeout((isLong ? slowWorkMs : minWorkMs) * (1 + random.next()));
		const prefix = innerCalls.get(`/${target.split('/')[1]}/`);
		if (prefix !== undefined && random.next() < innerCallShare) {
			const leftMs = Number(req.headers['deadline-ms']) - (clock.monotonic() - startMs);
			const deadlineMs = Math.max(0, Math.floor(leftMs));
			// Two attempts of the call above may run at the same time.
			const innerId = `${id}.${instance}`;
			await callInner({id: innerId, prefix, deadlineMs, signal: givenUp.signal});
		}

		isAtWork = false;
		const spoilt = nextSpoiltAnswer();
		if (spoilt !== undefined) {
			res.socket?.write(spoilt);
			return;
		}

		const answer = answerBodyOf(id);
		const isFramed = random.next() >= unframedShare;
		res.useChunkedEncodingByDefault = false;
		res.writeHead(200, {
			'attempt-id': id,
			'server-seal': `${instance}.seal`,
			...(isFramed ? {'content-length': answer.length} : {}),
		});
		const pausedAt = isFramed ? answer.length : Math.floor(answer.length / 2);
		res.write(answer.slice(0, pausedAt));
		if (!isFramed) {
			await setTimeout(unframedPauseMs);
		}

		res.end(answer.slice(pausedAt));
	} catch {
		// The caller disconnected while its body was read; nothing was executed.
		res.destroy();
	}
};
