import type {Clock, Fault} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {IssuerIdentity} from './issuer-identity.js';
import {IdempotencyKey} from './idempotency-key.js';
import {issuerName} from './issuer-name.js';
import type {KeyRecord} from './key-record.js';
import {keyStates} from './key-states.js';
import {ledgerFaults} from './ledger-faults.js';

type Opts = {
	readonly clock: Clock;
	readonly dataCentre: string;
	readonly node: string;
	readonly incarnation: number;
	/** Known to this process only; a new process cannot verify the keys of its predecessor. */
	readonly secret: string;
	readonly retentionMs?: number;
	readonly maxRecords?: number;
};

type Entry<Answer> = {
	readonly fingerprint: string;
	readonly atMs: number;
	readonly outcome: Promise<Answer>;
	readonly settle: (answer: Answer) => void;
	state: (typeof keyStates)[keyof typeof keyStates];
	answer?: Answer;
};

type BeginResult<Answer> =
	| {readonly state: typeof keyStates.unused}
	| {
			readonly state: typeof keyStates.running | typeof keyStates.done;
			readonly outcome: Promise<Answer>;
	  }
	| {readonly state: typeof keyStates.unknown};

const defaultRetentionMs = 600_000;
const defaultMaxRecords = 50_000;

/**
 * Ensures that the request of each idempotency key runs at most once. A key may be started only by
 * the process that issued it, which keeps a record of each key until the key is too old to be
 * started. So no other process, in this data centre or across a network partition, can start it a
 * second time, whatever state it assumes of the issuer. A process that shuts down gracefully closes
 * its ledger permanently and hands it over to one other process.
 *
 * @example
 * const begun = ledger.begin(key, fingerprint);
 * if (begun.isOk() && begun.value.state === keyStates.unused) {
 * 	ledger.finish(key, await run());
 * }
 */
export class KeyLedger<Answer> {
	/** Creates a ledger without keys. */
	static create<Answer>(opts: Opts): KeyLedger<Answer> {
		return new KeyLedger({
			retentionMs: defaultRetentionMs,
			maxRecords: defaultMaxRecords,
			...opts,
		});
	}

	private readonly entries = new Map<string, Entry<Answer>>();
	/**
	 * Issuers that have handed over their keys to this process, with the time when the entry expires.
	 */
	private readonly inherited = new Map<
		string,
		{readonly issuer: IssuerIdentity; readonly expiresMs: number}
	>();

	private sequence = 0;
	private isClosed = false;

	private constructor(private readonly opts: Required<Opts>) {}

	/** Number of recorded keys. */
	get size(): number {
		return this.entries.size;
	}

	/** Names of the issuers whose keys this process has taken over, as formatted by `issuerName`. */
	get inheritedIssuers(): string[] {
		const nowMs = this.opts.clock.now();
		return [...this.inherited].filter(([, {expiresMs}]) => expiresMs > nowMs).map(([name]) => name);
	}

	/**
	 * Closes the ledger permanently and returns what another process needs to take over its keys. A
	 * key whose request is still in progress is handed over as unknown.
	 */
	handOver(): {
		readonly estates: readonly IssuerIdentity[];
		readonly records: ReadonlyArray<KeyRecord<Answer>>;
	} {
		this.isClosed = true;
		const {node, incarnation, secret} = this.opts;
		return {
			estates: [
				{node, incarnation, secret},
				...[...this.inherited.values()].map(({issuer}) => issuer),
			],
			records: [...this.entries].map(([key, {fingerprint, atMs, state, answer}]) => ({
				key,
				fingerprint,
				atMs,
				answer: state === keyStates.done ? answer : undefined,
			})),
		};
	}

	/**
	 * Imports records of an issuer that has closed its ledger. Its keys start only after
	 * `adoptIssuers`.
	 */
	importRecords(records: ReadonlyArray<KeyRecord<Answer>>): void {
		for (const {key, fingerprint, atMs, answer} of records) {
			const entry = this.newEntry(atMs, fingerprint);
			if (answer === undefined) {
				entry.state = keyStates.unknown;
			} else {
				entry.state = keyStates.done;
				entry.answer = answer;
				entry.settle(answer);
			}

			this.entries.set(key, entry);
		}
	}

	/**
	 * Becomes the issuer of the keys of closed ledgers, after all their records have been imported.
	 */
	adoptIssuers(issuers: readonly IssuerIdentity[]): void {
		const expiresMs = this.opts.clock.now() + this.opts.retentionMs;
		for (const issuer of issuers) {
			this.inherited.set(issuerName(issuer.node, issuer.incarnation), {
				issuer,
				expiresMs,
			});
		}
	}

	/** Issues a new key. */
	issue(): string {
		const {dataCentre, node, incarnation, secret, clock} = this.opts;
		const parts = {
			dataCentre,
			node,
			incarnation,
			issuedMs: Math.floor(clock.now()),
			sequence: this.sequence++,
		};
		return IdempotencyKey.create(parts, secret).text;
	}

	/** Whether this process issued the key or has taken over its issuer. */
	isIssuer(key: IdempotencyKey): boolean {
		const {node, incarnation, secret} = this.opts;
		if (key.parts.node === node && key.parts.incarnation === incarnation) {
			return key.isSignedWith(secret);
		}

		const inherited = this.inherited.get(issuerName(key.parts.node, key.parts.incarnation));
		return inherited !== undefined && key.isSignedWith(inherited.issuer.secret);
	}

	/** Whether the key was issued here, has not been started and may still be started. */
	isUnused(key: IdempotencyKey): boolean {
		if (this.isClosed) {
			return false;
		}

		const isStartable = this.opts.clock.now() - key.parts.issuedMs < this.opts.retentionMs;
		return this.isIssuer(key) && isStartable && !this.entries.has(key.text);
	}

	/**
	 * Starts a key, or returns its current state. After `unused` the caller must end the key with
	 * `finish`, `notRun` or `lose`.
	 */
	begin(key: IdempotencyKey, fingerprint: string): Result<BeginResult<Answer>, Fault> {
		if (!this.isIssuer(key)) {
			return err(ledgerFaults.notIssuer);
		}

		this.removeOldRecords();
		const entry = this.entries.get(key.text);
		if (entry) {
			if (entry.fingerprint !== fingerprint) {
				return err(ledgerFaults.requestMismatch);
			}

			return ok(
				entry.state === keyStates.unknown
					? {state: keyStates.unknown}
					: {state: entry.state as typeof keyStates.done, outcome: entry.outcome},
			);
		}

		const ageMs = this.opts.clock.now() - key.parts.issuedMs;
		if (this.isClosed || ageMs >= this.opts.retentionMs) {
			return ok({state: keyStates.unknown});
		}

		if (this.entries.size >= this.opts.maxRecords) {
			return err(ledgerFaults.full);
		}

		this.entries.set(key.text, this.newEntry(key.parts.issuedMs, fingerprint));
		return ok({state: keyStates.unused});
	}

	/** Ends a key with its whole answer, which later resends receive. */
	finish(key: IdempotencyKey, answer: Answer): void {
		this.end(key, keyStates.done, answer);
	}

	/** Ends a key whose outcome is lost; it is never started again. */
	lose(key: IdempotencyKey, answer: Answer): void {
		this.end(key, keyStates.unknown, answer);
	}

	/** Ends a key whose request has certainly not run, so that a resend may start it. */
	notRun(key: IdempotencyKey, answer: Answer): void {
		this.end(key, keyStates.unused, answer);
		this.entries.delete(key.text);
	}

	private end(key: IdempotencyKey, state: Entry<Answer>['state'], answer: Answer): void {
		const entry = this.entries.get(key.text);
		if (entry) {
			entry.state = state;
			entry.answer = answer;
			entry.settle(answer);
		}
	}

	private newEntry(atMs: number, fingerprint: string): Entry<Answer> {
		let settle: (answer: Answer) => void = () => {};
		const outcome = new Promise<Answer>(resolve => {
			settle = resolve;
		});
		return {fingerprint, atMs, outcome, settle, state: keyStates.running};
	}

	/** Removes a record only when its key is too old to be started, so removing it is safe. */
	private removeOldRecords(): void {
		const nowMs = this.opts.clock.now();
		for (const [name, {expiresMs}] of this.inherited) {
			if (expiresMs <= nowMs) {
				this.inherited.delete(name);
			}
		}

		const oldestMs = nowMs - this.opts.retentionMs;
		for (const [text, entry] of this.entries) {
			if (entry.atMs > oldestMs) {
				return;
			}

			if (entry.state !== keyStates.running) {
				this.entries.delete(text);
			}
		}
	}
}
