import type {Answer} from '@medlarsaddle/wire';
import {type Result, err, ok} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {AnswerTooLarge} from './answer-too-large.js';

/**
 * Collects the answer to one call as undici reads it. `onEnd` is called exactly once, with the
 * complete answer or the error that ended it.
 *
 * @example
 * client.dispatch(options, new AnswerReader(maxBodyBytes, signal, onEnd));
 */
export class AnswerReader implements Dispatcher.DispatchHandler {
	private readonly chunks: Uint8Array[] = [];
	private bytes = 0;
	private status = 0;
	private headers: string[] = [];
	private abort: (() => void) | undefined;

	constructor(
		private readonly maxBytes: number,
		private readonly signal: AbortSignal,
		private readonly onEnd: (result: Result<Answer, Error>) => void,
	) {}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.abort = () => {
			controller.abort(new Error('The call was aborted'));
		};

		if (this.signal.aborted) {
			this.abort();
		} else {
			this.signal.addEventListener('abort', this.abort, {once: true});
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		this.status = status;
		const raw = (controller.rawHeaders ?? []) as Array<Uint8Array | string>;
		this.headers = raw.map(part =>
			typeof part === 'string' ? part : Buffer.from(part).toString('latin1'),
		);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.bytes += chunk.length;
		if (this.bytes > this.maxBytes) {
			controller.abort(new AnswerTooLarge());
		} else {
			this.chunks.push(chunk);
		}
	}

	onResponseEnd(): void {
		this.stopListening();
		const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
		this.onEnd(ok({kind: 'answer', status: this.status, headers: this.headers, body}));
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.stopListening();
		this.onEnd(err(error));
	}

	private stopListening(): void {
		if (this.abort) {
			this.signal.removeEventListener('abort', this.abort);
		}
	}
}
