import {type Clock, Fault, type Random, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {Change} from './change.js';
import type {ObjectStore} from './object-store.js';
import {Shard} from './shard.js';
import type {StoredObject} from './stored-object.js';
import type {StoredSection} from './stored-section.js';

type Deps = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	/** Version of the section on this node; the store may have been restored to an older state. */
	readonly heldVersion: (section: string) => number;
};

const maxAttempts = 6;
const retryBaseMs = 50;
const maxRetryMs = 800;

/**
 * Writes one change to the platform's store, at most once. Each attempt reads the shard first: if
 * the ID of the change is listed, an earlier write took effect although its response was lost. If
 * the section has changed since the operator read it, nothing is written: the fault is a conflict.
 *
 * @example
 * const accepted = await writeChange(deps, change, signal);
 */
export const writeChange = async (
	deps: Deps,
	change: Change,
	signal: AbortSignal,
): Promise<Result<StoredSection, Fault>> => {
	const name = Shard.nameFor(change.section);
	let mayHaveWritten = false;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		if (attempt > 0) {
			const delayMs = Math.min(maxRetryMs, retryBaseMs * 2 ** attempt) * (0.5 + deps.random.next());
			await deps.clock.sleep(delayMs, signal).catch(() => {});
		}

		const read = await deps.store.get(name, signal);
		if (read.isErr()) {
			continue;
		}

		const planned = planWrite(read.value, change, deps);
		if (planned.isErr()) {
			return err(planned.error);
		}

		const {section, shard, isAlreadyWritten} = planned.value;
		if (isAlreadyWritten) {
			return ok(section);
		}

		const put = await deps.store.put(name, shard, read.value.position, signal);
		if (put.isOk()) {
			return ok(section);
		}

		if (put.error.kind === faultKinds.tooLarge) {
			return err(put.error);
		}

		mayHaveWritten ||= put.error.kind !== faultKinds.conflict;
	}

	return err(mayHaveWritten ? outcomeUnknown(change) : notWritten);
};

type WritePlan = {
	readonly section: StoredSection;
	readonly shard: Shard;
	readonly isAlreadyWritten: boolean;
};

/** Decides what to write, given the current object in the store. */
const planWrite = (object: StoredObject, change: Change, deps: Deps): Result<WritePlan, Fault> => {
	const shard = Shard.of(object.value);
	const current = shard.sections[change.section];
	const written = shard.findChange(change.changeId);
	if (written) {
		const {section: name, version, changeId, author, atMs} = written;
		const section = {name, version, changeId, author, atMs, text: change.text};
		return ok({section, shard, isAlreadyWritten: true});
	}

	const version = Math.max(current?.version ?? 0, deps.heldVersion(change.section));
	if (version !== change.expectedVersion) {
		return err(
			Fault.of(
				faultKinds.conflict,
				`Section ${change.section} is at version ${version}${current ? `, changed by ${current.author}` : ''}, not ${change.expectedVersion}`,
				'Get the current version, apply the change to it and put it again',
			),
		);
	}

	const section = {
		name: change.section,
		version: version + 1,
		changeId: change.changeId,
		author: change.author,
		atMs: Math.floor(deps.clock.now()),
		text: change.text,
	};
	return ok({section, shard: shard.with(section), isAlreadyWritten: false});
};

const outcomeUnknown = (change: Change): Fault =>
	Fault.of(
		faultKinds.storeUnavailable,
		`The store's answer to change ${change.changeId} was lost and it cannot be read back`,
		'Put it again with the same change ID once the store answers; it is never applied twice',
	);
const notWritten = Fault.of(
	faultKinds.storeUnavailable,
	'The store does not answer, and the change was not written',
	'Put it again once the store answers; nodes go on with the policy they hold',
);
