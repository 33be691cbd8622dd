import {type Clock, faultKinds, rendezvous} from '@medlarsaddle/core';
import {
	RetryAllowance,
	IdempotencyKey,
	type KeyLedger,
	issuerName,
	keyStates,
} from '@medlarsaddle/control';
import type {Gossip, Member} from '@medlarsaddle/members';
import {
	type Answer,
	type CallOutcome,
	type CallRequest,
	type MessageOf,
	callModes,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
import type {Peers} from '../peers/peers.js';
import {refusalOf} from '../peers/refusal-of.js';
import {fingerprintOf} from '../upstream/fingerprint-of.js';
import type {AnswerStore} from './answer-store.js';
import type {CallSender} from './call-sender.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import {keyFaults} from './key-faults.js';

type Opts = {
	readonly clock: Clock;
	readonly ledger: KeyLedger<CallOutcome>;
	readonly answers: AnswerStore;
	readonly sender: CallSender;
	readonly peers: Peers;
	readonly directory: EndpointDirectory;
	readonly gossip: Gossip;
};

const successorWaitMs = 600;
const successorPollMs = 50;
const answerCopies = 2;
const queriedHolders = 3;
const maxCopiedBytes = 64 * 1024;

/**
 * Runs keyed requests at most once. Only the process that issued a key, or the one that took over
 * its keys, starts the request. Other nodes forward it to that process, or look for a copy of the
 * answer when the process is unreachable.
 *
 * @example
 * const outcome = await keyedCalls.run(request, signal);
 */
export class KeyedCallRunner {
	/** Creates a runner that uses this node's key ledger. */
	static create(opts: Opts): KeyedCallRunner {
		return new KeyedCallRunner(opts);
	}

	private constructor(private readonly opts: Opts) {}

	/** Runs a keyed request, or forwards it to where its key was issued. */
	readonly run = async (request: CallRequest, signal: AbortSignal): Promise<CallOutcome> => {
		const key = IdempotencyKey.parse(request.key ?? '');
		if (key.isErr()) {
			return refusalOf(key.error, runStates.notRun, request.allowance);
		}

		const {ledger, gossip} = this.opts;
		if (ledger.isIssuer(key.value)) {
			return this.runOnce(key.value, request);
		}

		return key.value.parts.dataCentre === gossip.self.group
			? this.forwardToIssuer(key.value, request, signal)
			: this.forwardToDataCentre(key.value, request, signal);
	};

	/** Whether this node issued the key and has not started its request. */
	isUnused(text: string): boolean {
		const key = IdempotencyKey.parse(text);
		return key.isOk() && this.opts.ledger.isUnused(key.value);
	}

	/** Stores the answer of a request that another node ran. */
	readonly keyDone = ({key, fingerprint, answer}: MessageOf<'key-done'>): void => {
		this.opts.answers.put(key, fingerprint, answer);
	};

	/** Returns the answer of a key, if it is stored here. */
	readonly keyQuery = ({id, key, fingerprint}: MessageOf<'key-ask'>): MessageOf<'key-told'> => ({
		type: messageTypes.keyQueryReply,
		id,
		answer: this.opts.answers.find(key, fingerprint),
	});

	private async runOnce(key: IdempotencyKey, request: CallRequest): Promise<CallOutcome> {
		const {ledger, sender} = this.opts;
		const fingerprint = fingerprintOf(request);
		const started = ledger.begin(key, fingerprint);
		if (started.isErr()) {
			const isNew = started.error.kind === faultKinds.overloaded;
			return refusalOf(
				started.error,
				isNew ? runStates.notRun : runStates.unknown,
				request.allowance,
			);
		}

		if (started.value.state === keyStates.unknown) {
			return refusalOf(keyFaults.outcomeLost, runStates.unknown, 0);
		}

		if (started.value.state !== keyStates.unused) {
			return started.value.outcome;
		}

		const outcome = await this.sendSafely(sender, request);
		const {result} = outcome;
		if (result.kind === 'answer') {
			ledger.finish(key, outcome);
			this.replicate(key, fingerprint, result);
		} else if (result.run === runStates.notRun) {
			ledger.notRun(key, outcome);
		} else {
			ledger.lose(key, outcome);
		}

		return outcome;
	}

	/** Runs a request. If it throws, the key ends as unknown and its request is not started again. */
	private async sendSafely(sender: CallSender, request: CallRequest): Promise<CallOutcome> {
		// The request is bounded by its deadline; it is not cancelled when its caller disconnects.
		const {signal} = new AbortController();
		try {
			return await sender.send(request, RetryAllowance.of(request.allowance), signal);
		} catch {
			return refusalOf(keyFaults.outcomeLost, runStates.unknown, 0);
		}
	}

	private replicate(key: IdempotencyKey, fingerprint: string, answer: Answer): void {
		if (answer.body.length > maxCopiedBytes) {
			return;
		}

		for (const holder of this.holders(key, answerCopies)) {
			const message = {type: messageTypes.keyDone, key: key.text, fingerprint, answer};
			void this.opts.peers.notify(holder, message).catch(() => {});
		}
	}

	private holders(key: IdempotencyKey, count: number): Member[] {
		const {gossip, directory} = this.opts;
		const ids = gossip.table.alive.map(({id}) => id).filter(id => id !== key.parts.node);
		return rendezvous(key.text, ids, count).flatMap(id => directory.memberOf(id) ?? []);
	}

	private async forwardToIssuer(
		key: IdempotencyKey,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {clock, gossip} = this.opts;
		const endMs = clock.monotonic() + Math.min(successorWaitMs, request.remainingMs);
		const tried = new Set<string>();
		do {
			const issuer = this.issuerOf(key);
			if (issuer && issuer.id !== gossip.self.id && !tried.has(issuer.id)) {
				tried.add(issuer.id);
				const outcome = await this.callIssuer(key, issuer, request, signal);
				if (!isUnreachable(outcome)) {
					return outcome;
				}
			} else if (gossip.self.id === issuer?.id && this.opts.ledger.isIssuer(key)) {
				return this.runOnce(key, request);
			} else {
				// Gossip about a planned stop and the successor may not have arrived yet.
				await clock.sleep(successorPollMs);
			}
		} while (clock.monotonic() < endMs);

		const answer = await this.findAnswer(key, request);
		return answer
			? {result: answer, cutoffs: [], load: 0, unspent: 0}
			: refusalOf(keyFaults.issuerUnavailable, runStates.unknown, 0);
	}

	/** Calls the issuer of a key. While the link to it is silent, a stored answer is as good as its own. */
	private async callIssuer(
		key: IdempotencyKey,
		issuer: Member,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {peers} = this.opts;
		const mode = callModes.own;
		return new Promise((resolve, reject) => {
			const onStalled = async () => {
				const answer = await this.findAnswer(key, request);
				if (answer) {
					resolve({result: answer, cutoffs: [], load: 0, unspent: 0});
				}
			};

			peers
				.call(issuer, {
					mode,
					request,
					signal,
					onStalled() {
						onStalled().catch(reject);
					},
				})
				.then(resolve, reject);
		});
	}

	/** The process that may start the request of a key: its issuer or the successor of that. */
	private issuerOf({parts: {node, incarnation}}: IdempotencyKey): Member | undefined {
		const {directory} = this.opts;
		const member = directory.memberOf(node);
		return member?.incarnation === incarnation
			? member
			: directory.successorOf(issuerName(node, incarnation));
	}

	private async forwardToDataCentre(
		key: IdempotencyKey,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {gossip, peers} = this.opts;
		for (const contact of gossip.contacts.of(key.parts.dataCentre)) {
			const outcome = await peers.call(contact, {mode: callModes.own, request, signal});
			if (!isUnreachable(outcome)) {
				return outcome;
			}

			// The request may have reached the issuer; another contact would get no better answer.
			if (outcome.result.kind === 'refusal' && outcome.result.run === runStates.unknown) {
				return outcome;
			}
		}

		return refusalOf(keyFaults.dataCentreUnreachable, runStates.unknown, 0);
	}

	/** Queries the nodes that may store a copy of the answer. */
	private async findAnswer(key: IdempotencyKey, request: CallRequest): Promise<Answer | undefined> {
		const fingerprint = fingerprintOf(request);
		const stored = this.opts.answers.find(key.text, fingerprint);
		if (stored) {
			return stored;
		}

		const replies = await Promise.all(
			this.holders(key, queriedHolders)
				.filter(({id}) => id !== this.opts.gossip.self.id)
				.map(async holder =>
					this.opts.peers.request(holder, id => ({
						type: messageTypes.keyQuery,
						id,
						key: key.text,
						fingerprint,
					})),
				),
		);
		return replies.flatMap(reply =>
			reply?.type === messageTypes.keyQueryReply && reply.answer ? [reply.answer] : [],
		)[0];
	}
}

const isUnreachable = ({result}: CallOutcome): boolean =>
	result.kind === 'refusal' && result.fault === faultKinds.unreachable;
