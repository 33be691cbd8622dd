import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import type {Clock, Random} from '@medlarsaddle/core';
import {RoutedUpstream} from '../upstream/routed-upstream.js';
import {answerBodyOf} from './answer-body-of.js';
import type {UpstreamRun} from './upstream-run.js';

type Opts = {
	readonly service: string;
	readonly instance: string;
	/** Number of the upstream on its host, counted from 1. */
	readonly instanceNumber: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called when the upstream starts to execute a call. */
	readonly onRun: (run: UpstreamRun) => void;
	/** Bytes that are sent in place of the next answer; undefined when it is to be sound. */
	readonly nextSpoiltAnswer: () => string | undefined;
};

/** Minimum execution time of a call, in milliseconds; the maximum is twice as long. */
const minWorkMs = 20;

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
	upstream.handler = (req, res) => {
		void serve(opts, req, res);
	};

	return upstream;
};

const serve = async (
	{service, instance, clock, random, onRun, nextSpoiltAnswer}: Opts,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> => {
	const id = String(req.headers['attempt-id']);
	try {
		const body = await text(req);
		onRun({id, instance, service, target: req.url ?? '', body, atMs: clock.monotonic()});
		await setTimeout(minWorkMs * (1 + random.next()));
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
