import type {Clock, Fault} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {Estate} from './estate.js';
import {IssuedKey} from './issued-key.js';
import {issuerName} from './issuer-name.js';
import type {KeyRecord} from './key-record.js';
import {keyStates} from './key-states.js';
import {ledgerFaults} from './ledger-faults.js';

type Opts = {
	readonly clock: Clock;
	readonly dataCentre: string;
	readonly node: string;
	readonly incarnation: number;
	/** Known to this process alone; a new process cannot vouch for its predecessor's keys. */
	readonly secret: string;
	readonly rememberMs?: number;
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

type Begin<Answer> =
	| {readonly state: typeof keyStates.unused}
	| {
			readonly state: typeof keyStates.running | typeof keyStates.done;
			readonly outcome: Promise<Answer>;
	  }
	| {readonly state: typeof keyStates.unknown};

const defaultRememberMs = 600_000;
const defaultMaxRecords = 50_000;

/**
 * Runs each key at most once. A key may be started only by the process that issued it, which keeps
 * a record of each until the key itself is too old to be started. So no other process, in this data
 * centre or beyond a partition, can start it a second time, whatever it believes of the issuer. A
 * process that stops as planned closes its ledger for good and hands it over to one other process.
 *
 * @example
 * const begun = ledger.begin(key, fingerprint);
 * if (begun.isOk() && begun.value.state === keyStates.unused) {
 * 	ledger.finish(key, await run());
 * }
 */
export class KeyLedger<Answer> {
	/** Creates a ledger that has issued nothing. */
	static create<Answer>(opts: Opts): KeyLedger<Answer> {
		return new KeyLedger({
			rememberMs: defaultRememberMs,
			maxRecords: defaultMaxRecords,
			...opts,
		});
	}

	private readonly entries = new Map<string, Entry<Answer>>();
	/** Issuers that have handed their keys over to this process, with when that is forgotten. */
	private readonly inherited = new Map<
		string,
		{readonly estate: Estate; readonly untilMs: number}
	>();

	private sequence = 0;
	private isClosed = false;

	private constructor(private readonly opts: Required<Opts>) {}

	/** Keys that are remembered. */
	get size(): number {
		return this.entries.size;
	}

	/** Issuers whose keys this process has taken over, as `issuerName` writes them. */
	get inheritedIssuers(): string[] {
		const nowMs = this.opts.clock.now();
		return [...this.inherited].filter(([, {untilMs}]) => untilMs > nowMs).map(([name]) => name);
	}

	/**
	 * Closes the ledger for good and returns what another process needs to take its keys over. A key
	 * whose request is still open is handed over as unknown.
	 */
	handOver(): {
		readonly estates: readonly Estate[];
		readonly records: ReadonlyArray<KeyRecord<Answer>>;
	} {
		this.isClosed = true;
		const {node, incarnation, secret} = this.opts;
		return {
			estates: [
				{node, incarnation, secret},
				...[...this.inherited.values()].map(({estate}) => estate),
			],
			records: [...this.entries].map(([key, {fingerprint, atMs, state, answer}]) => ({
				key,
				fingerprint,
				atMs,
				answer: state === keyStates.done ? answer : undefined,
			})),
		};
	}

	/** Takes in records of an issuer that has closed its ledger. Keys are started only after `adopt`. */
	takeRecords(records: ReadonlyArray<KeyRecord<Answer>>): void {
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

	/** Becomes the issuer of the keys of closed ledgers, once all their records were taken in. */
	adopt(estates: readonly Estate[]): void {
		const untilMs = this.opts.clock.now() + this.opts.rememberMs;
		for (const estate of estates) {
			this.inherited.set(issuerName(estate.node, estate.incarnation), {estate, untilMs});
		}
	}

	/** Issues a fresh key. */
	issue(): string {
		const {dataCentre, node, incarnation, secret, clock} = this.opts;
		const parts = {
			dataCentre,
			node,
			incarnation,
			issuedMs: Math.floor(clock.now()),
			sequence: this.sequence++,
		};
		return IssuedKey.create(parts, secret).text;
	}

	/** Whether this process issued the key. */
	isIssuer(key: IssuedKey): boolean {
		const {node, incarnation, secret} = this.opts;
		if (key.parts.node === node && key.parts.incarnation === incarnation) {
			return key.isSignedWith(secret);
		}

		const found = this.inherited.get(issuerName(key.parts.node, key.parts.incarnation));
		return found !== undefined && key.isSignedWith(found.estate.secret);
	}

	/** Whether the key was issued here, was never started and may still be. */
	isUnused(key: IssuedKey): boolean {
		if (this.isClosed) {
			return false;
		}

		const isYoung = this.opts.clock.now() - key.parts.issuedMs < this.opts.rememberMs;
		return this.isIssuer(key) && isYoung && !this.entries.has(key.text);
	}

	/**
	 * Starts a key, or tells what became of it. After `unused` the caller has to end the key with
	 * `finish`, `notRun` or `lose`.
	 */
	begin(key: IssuedKey, fingerprint: string): Result<Begin<Answer>, Fault> {
		if (!this.isIssuer(key)) {
			return err(ledgerFaults.notIssuer);
		}

		this.forgetOld();
		const entry = this.entries.get(key.text);
		if (entry) {
			if (entry.fingerprint !== fingerprint) {
				return err(ledgerFaults.otherRequest);
			}

			return ok(
				entry.state === keyStates.unknown
					? {state: keyStates.unknown}
					: {state: entry.state as typeof keyStates.done, outcome: entry.outcome},
			);
		}

		const ageMs = this.opts.clock.now() - key.parts.issuedMs;
		if (this.isClosed || ageMs >= this.opts.rememberMs) {
			return ok({state: keyStates.unknown});
		}

		if (this.entries.size >= this.opts.maxRecords) {
			return err(ledgerFaults.full);
		}

		this.entries.set(key.text, this.newEntry(key.parts.issuedMs, fingerprint));
		return ok({state: keyStates.unused});
	}

	/** Ends a key with its whole answer, which resends then get. */
	finish(key: IssuedKey, answer: Answer): void {
		this.end(key, keyStates.done, answer);
	}

	/** Ends a key whose outcome cannot be known; it is never started again. */
	lose(key: IssuedKey, answer: Answer): void {
		this.end(key, keyStates.unknown, answer);
	}

	/** Ends a key whose request certainly did not run, so that a resend may start it. */
	notRun(key: IssuedKey, answer: Answer): void {
		this.end(key, keyStates.unused, answer);
		this.entries.delete(key.text);
	}

	private end(key: IssuedKey, state: Entry<Answer>['state'], answer: Answer): void {
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

	/** A record goes only once its key is too old to be started, so forgetting it is safe. */
	private forgetOld(): void {
		const nowMs = this.opts.clock.now();
		for (const [name, {untilMs}] of this.inherited) {
			if (untilMs <= nowMs) {
				this.inherited.delete(name);
			}
		}

		const oldestMs = nowMs - this.opts.rememberMs;
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
