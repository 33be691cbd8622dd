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
import {refusalOf} from '../peers/refusals.js';
import {fingerprint} from '../upstream/fingerprint.js';
import type {AnswerStore} from './answer-store.js';
import type {Carrier} from './carrier.js';
import type {Directory} from './directory.js';
import {keyFaults} from './key-faults.js';

type Opts = {
	readonly clock: Clock;
	readonly ledger: KeyLedger<CallOutcome>;
	readonly store: AnswerStore;
	readonly carrier: Carrier;
	readonly peers: Peers;
	readonly directory: Directory;
	readonly gossip: Gossip;
};

const heirNewsMs = 600;
const heirPollMs = 50;
const copies = 2;
const askedHolders = 3;
const maxCopiedBytes = 64 * 1024;

/**
 * Runs keyed requests at most once. Only the process that issued a key starts its request; all
 * others pass it on to that process, or look for its answer when the process is gone.
 *
 * @example
 * const outcome = await owner.own(request, signal);
 */
export class Owner {
	/** Creates an owner over this node's ledger. */
	static create(opts: Opts): Owner {
		return new Owner(opts);
	}

	private constructor(private readonly opts: Opts) {}

	/** Carries through a keyed request wherever its key was issued. */
	readonly own = async (request: CallRequest, signal: AbortSignal): Promise<CallOutcome> => {
		const key = IdempotencyKey.parse(request.key ?? '');
		if (key.isErr()) {
			return refusalOf(key.error, runStates.notRun, request.allowance);
		}

		const {ledger, gossip} = this.opts;
		if (ledger.isIssuer(key.value)) {
			return this.runOnce(key.value, request);
		}

		return key.value.parts.dataCentre === gossip.self.group
			? this.passToIssuer(key.value, request, signal)
			: this.passAbroad(key.value, request, signal);
	};

	/** Whether this node issued the key and has not started its request. */
	isUnused(text: string): boolean {
		const key = IdempotencyKey.parse(text);
		return key.isOk() && this.opts.ledger.isUnused(key.value);
	}

	/** Keeps the answer of a request that another node ran. */
	readonly keyDone = ({key, fingerprint: print, answer}: MessageOf<'key-done'>): void => {
		this.opts.store.keep(key, print, answer);
	};

	/** Tells whether the answer of a key is kept here. */
	readonly keyAsk = ({
		id,
		key,
		fingerprint: print,
	}: MessageOf<'key-ask'>): MessageOf<'key-told'> => ({
		type: messageTypes.keyQueryReply,
		id,
		answer: this.opts.store.find(key, print),
	});

	private async runOnce(key: IdempotencyKey, request: CallRequest): Promise<CallOutcome> {
		const {ledger, carrier} = this.opts;
		const print = fingerprint(request);
		const begun = ledger.begin(key, print);
		if (begun.isErr()) {
			const isNew = begun.error.kind === faultKinds.overloaded;
			return refusalOf(
				begun.error,
				isNew ? runStates.notRun : runStates.unknown,
				request.allowance,
			);
		}

		if (begun.value.state === keyStates.unknown) {
			return refusalOf(keyFaults.outcomeLost, runStates.unknown, 0);
		}

		if (begun.value.state !== keyStates.unused) {
			return begun.value.outcome;
		}

		const outcome = await this.carryOut(carrier, request);
		const {result} = outcome;
		if (result.kind === 'answer') {
			ledger.finish(key, outcome);
			this.copy(key, print, result);
		} else if (result.run === runStates.notRun) {
			ledger.notRun(key, outcome);
		} else {
			ledger.lose(key, outcome);
		}

		return outcome;
	}

	/** Whatever goes wrong here, the key ends as unknown and is not started again. */
	private async carryOut(carrier: Carrier, request: CallRequest): Promise<CallOutcome> {
		// It ends with its deadline, not when its caller goes away.
		const {signal} = new AbortController();
		try {
			return await carrier.carry(request, RetryAllowance.of(request.allowance), signal);
		} catch {
			return refusalOf(keyFaults.outcomeLost, runStates.unknown, 0);
		}
	}

	private copy(key: IdempotencyKey, print: string, answer: Answer): void {
		if (answer.body.length > maxCopiedBytes) {
			return;
		}

		for (const holder of this.holders(key, copies)) {
			const message = {type: messageTypes.keyDone, key: key.text, fingerprint: print, answer};
			void this.opts.peers.tell(holder, message).catch(() => {});
		}
	}

	private holders(key: IdempotencyKey, count: number): Member[] {
		const {gossip, directory} = this.opts;
		const ids = gossip.table.alive.map(({id}) => id).filter(id => id !== key.parts.node);
		return rendezvous(key.text, ids, count).flatMap(id => directory.memberOf(id) ?? []);
	}

	private async passToIssuer(
		key: IdempotencyKey,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {clock, peers, gossip} = this.opts;
		const endMs = clock.monotonic() + Math.min(heirNewsMs, request.remainingMs);
		const asked = new Set<string>();
		do {
			const issuer = this.issuerOf(key);
			if (issuer && issuer.id !== gossip.self.id && !asked.has(issuer.id)) {
				asked.add(issuer.id);
				const outcome = await peers.call(issuer, callModes.own, request, signal);
				if (!isUnreachable(outcome)) {
					return outcome;
				}
			} else if (gossip.self.id === issuer?.id && this.opts.ledger.isIssuer(key)) {
				return this.runOnce(key, request);
			} else {
				// News of a planned stop and of the heir may still be on its way.
				await clock.sleep(heirPollMs);
			}
		} while (clock.monotonic() < endMs);

		const answer = await this.findAnswer(key, request);
		return answer
			? {result: answer, cutoffs: [], load: 0, unspent: 0}
			: refusalOf(keyFaults.issuerGone, runStates.unknown, 0);
	}

	/** The process that may start a key: the one that issued it, or the one that took it over. */
	private issuerOf({parts: {node, incarnation}}: IdempotencyKey): Member | undefined {
		const {directory} = this.opts;
		const named = directory.memberOf(node);
		return named?.incarnation === incarnation
			? named
			: directory.heirOf(issuerName(node, incarnation));
	}

	private async passAbroad(
		key: IdempotencyKey,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {gossip, peers} = this.opts;
		for (const contact of gossip.contacts.of(key.parts.dataCentre)) {
			const outcome = await peers.call(contact, callModes.own, request, signal);
			if (!isUnreachable(outcome)) {
				return outcome;
			}

			// It may have reached the issuer, so another contact could only repeat the question.
			if (outcome.result.kind === 'refusal' && outcome.result.run === runStates.unknown) {
				return outcome;
			}
		}

		return refusalOf(keyFaults.homeCutOff, runStates.unknown, 0);
	}

	/** Asks the nodes that would hold a copy of the answer. */
	private async findAnswer(key: IdempotencyKey, request: CallRequest): Promise<Answer | undefined> {
		const print = fingerprint(request);
		const own = this.opts.store.find(key.text, print);
		if (own) {
			return own;
		}

		const replies = await Promise.all(
			this.holders(key, askedHolders)
				.filter(({id}) => id !== this.opts.gossip.self.id)
				.map(async holder =>
					this.opts.peers.ask(holder, id => ({
						type: messageTypes.keyQuery,
						id,
						key: key.text,
						fingerprint: print,
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
