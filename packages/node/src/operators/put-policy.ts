import {type Clock, type Log, type Random, Fault, events, faultKinds} from '@medlarsaddle/core';
import type {PutPolicyReply, PutPolicyRequest} from '@medlarsaddle/api';
import {type ObjectStore, writeChange} from '@medlarsaddle/records';
import {parseSection, sectionNameOf, policyWarnings} from '@medlarsaddle/policy';
import {type Result, err, ok} from 'neverthrow';
import type {Config} from '../config/config.js';

type Deps = {
	readonly store: ObjectStore | undefined;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly config: Config;
};

const maxNameLength = 128;

/**
 * Checks a change, writes it to the platform and puts it in force on this node. It is accepted only
 * once the platform has stored it.
 *
 * @example
 * const reply = await putPolicy(deps, request, signal);
 */
export const putPolicy = async (
	deps: Deps,
	request: PutPolicyRequest,
	signal: AbortSignal,
): Promise<Result<PutPolicyReply, Fault>> => {
	const warnings = checkChange(deps.config, request);
	if (warnings.isErr()) {
		return err(warnings.error);
	}

	const needsAcceptance = warnings.value.length > 0 && !request.acceptWarnings;
	if (request.checkOnly || needsAcceptance) {
		return ok({version: 0, warnings: warnings.value, accepted: false});
	}

	if (!deps.store) {
		return err(noStore);
	}

	const {name, text, expectedVersion, changeId, author} = request;
	const change = {section: name, text, expectedVersion, changeId, author};
	const heldVersion = (section: string) => deps.config.policy.versionOf(section);
	const written = await writeChange({...deps, store: deps.store, heldVersion}, change, signal);
	const fields = {section: name, changeId, author};
	if (written.isErr()) {
		deps.log(events.policyRefused, {...fields, error: written.error.what});
		return err(written.error);
	}

	deps.log(events.policyAccepted, {...fields, version: written.value.version});
	deps.config.apply(written.value, 'operator');
	return ok({version: written.value.version, warnings: warnings.value, accepted: true});
};

/** Warnings about the policy that would result from the change. */
const checkChange = (config: Config, request: PutPolicyRequest): Result<string[], Fault> => {
	const {name, text, changeId, author, expectedVersion} = request;
	if (name === '' || name.length > maxNameLength || changeId === '' || author === '') {
		return err(incompleteChange);
	}

	return parseSection(text)
		.andThen(body => {
			const expectedName = sectionNameOf(body);
			return name === expectedName ? ok(body) : err(wrongName(name, expectedName));
		})
		.andThen(() => {
			// For the check, any version that is newer than the held one will do.
			const version = Math.max(config.policy.versionOf(name), expectedVersion) + 1;
			return config.policy.with({name, version, changeId, author, atMs: 0, text});
		})
		.map(policy => policyWarnings(policy));
};

const incompleteChange = Fault.of(
	faultKinds.badInput,
	'A change needs the name of its section, a change ID and an author',
	'Use medlarsaddle policy put, which fills them in',
);
const noStore = Fault.of(
	faultKinds.storeUnavailable,
	'This node has no platform store to write to',
	'Start it with --store-url, or put the change to another node',
);
const wrongName = (name: string, expected: string): Fault =>
	Fault.of(
		faultKinds.badPolicy,
		`The section is named ${name} but its content is for ${expected}`,
		`Put it under the name ${expected}`,
	);
