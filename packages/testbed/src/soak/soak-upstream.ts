import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import type {Clock, Random} from '@medlarsaddle/core';
import {RoutedUpstream} from '../upstream/routed-upstream.js';
import {bodyOf} from './body-of.js';
import type {Run} from './run.js';

type Opts = {
	readonly service: string;
	readonly instance: string;
	/** Which upstream of its host it is, counted from 1. */
	readonly start: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called as the upstream begins to work on a call. */
	readonly onRun: (run: Run) => void;
};

/** Work of one call, in milliseconds: from here to twice this. */
const workMs = 20;

/** Share of the answers that end with their connection instead of a length. */
const unframedShare = 0.1;

/**
 * Starts an upstream that tells each call which it begins.
 *
 * @example
 * const upstream = await startSoakUpstream({service: 'pay', instance: 'i-a-1', start: 1, clock, random, onRun});
 */
export const startSoakUpstream = async (opts: Opts): Promise<RoutedUpstream> => {
	const upstream = await RoutedUpstream.start(opts.service, opts.instance, opts.start);
	upstream.manner = (req, res) => {
		void serve(opts, req, res);
	};

	return upstream;
};

const serve = async (
	{service, instance, clock, random, onRun}: Opts,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> => {
	const id = String(req.headers['attempt-id']);
	try {
		const body = await text(req);
		onRun({id, instance, service, target: req.url ?? '', body, atMs: clock.monotonic()});
		await setTimeout(workMs * (1 + random.next()));
		const answer = bodyOf(id);
		const isFramed = random.next() >= unframedShare;
		res.useChunkedEncodingByDefault = false;
		res.writeHead(200, {
			'attempt-id': id,
			'server-seal': `${instance}.seal`,
			...(isFramed ? {'content-length': answer.length} : {}),
		});
		res.end(answer);
	} catch {
		// The caller went away while its body was read; nothing has run.
		res.destroy();
	}
};
