import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';
import type {GetInForceReply, PutPolicyReply} from '@medlarsaddle/api';
import {type Fault, faultKinds} from '@medlarsaddle/core';
import {Command, Option} from 'clipanion';
import {type Result, err, ok} from 'neverthrow';
import {exitCodes} from '../exit-codes.js';
import type {NodeClient} from '../node-client.js';
import {readSectionFile} from '../read-section-file.js';
import {NodeCommand} from './node-command.js';

const maxAttempts = 3;
const pollPeriodMs = 250;
const maxPolls = 40;

/**
 * `medlarsaddle policy put FILE`: checks a file and puts it in force.
 *
 * @example
 * cli.register(PolicyPut);
 */
export class PolicyPut extends NodeCommand {
	static override paths = [['policy', 'put']];
	static override usage = Command.Usage({
		description: 'Check a policy file and put it in force',
		details:
			'The change is based on the version in force when the command starts, or on the one given by --expect. If another change was accepted in the meantime, this one is refused and nothing is changed.',
	});

	file = Option.String();
	expect = Option.String('--expect', {description: 'Version that the change is based on'});
	author = Option.String('--author', userInfo().username, {description: 'Author of the change'});
	changeId = Option.String('--change-id', randomUUID(), {
		description: 'ID of the change; repeat it to resend a change whose answer was lost',
	});

	acceptWarnings = Option.Boolean('--accept-warnings', false, {
		description: 'Put the file in force despite its warnings',
	});

	wait = Option.Boolean('--wait', false, {
		description:
			'Wait until the section is in force everywhere, and print its state by data centre',
	});

	check = Option.Boolean('--check', false, {description: 'Check only, change nothing'});

	override async execute(): Promise<number> {
		const file = await readSectionFile(this.file);
		if (file.isErr()) {
			return this.fail(file.error);
		}

		let needsAcceptance = false;
		let acceptedVersion = 0;
		const code = await this.runQuery(
			async client => this.put(client, file.value.name, file.value.text),
			({version, warnings, accepted}) => {
				for (const warning of warnings) {
					this.print(`warning: ${warning}`);
				}

				if (accepted) {
					this.print(`section ${file.value.name} is in force with version ${version}`);
				} else if (needsAcceptance) {
					this.print('not put: repeat with --accept-warnings if this is what you want');
				} else {
					this.print('the file is good');
				}
			},
			({version, accepted}) => {
				needsAcceptance = !accepted && !this.check;
				acceptedVersion = accepted ? version : 0;
			},
		);
		if (needsAcceptance) {
			return exitCodes.needsAcceptance;
		}

		return this.wait && acceptedVersion > 0
			? this.waitUntilInForce(file.value.name, acceptedVersion)
			: code;
	}

	/** Polls until the section is in force at every member, or the poll limit is reached. */
	private async waitUntilInForce(name: string, version: number): Promise<number> {
		let isInForceEverywhere = false;
		const code = await this.runQuery(
			async client => {
				let reply = await client.call('getInForce', {name, version});
				for (let poll = 1; poll < maxPolls && !isInForce(reply); poll++) {
					await delay(pollPeriodMs);
					reply = await client.call('getInForce', {name, version});
				}

				isInForceEverywhere = isInForce(reply);
				return reply;
			},
			({dataCentres}) => {
				this.printTable(
					['data centre', 'in force', 'members'],
					dataCentres.map(({dataCentre, nodes, members, answers}) => [
						dataCentre,
						answers ? String(nodes) : 'does not answer',
						String(members),
					]),
				);
			},
		);
		return code === exitCodes.ok && !isInForceEverywhere ? exitCodes.unavailable : code;
	}

	private async put(
		client: NodeClient,
		name: string,
		text: string,
	): Promise<Result<PutPolicyReply, Fault>> {
		const version = await this.expectedVersion(client, name);
		if (version.isErr()) {
			return err(version.error);
		}

		const request = {
			name,
			text,
			expectedVersion: version.value,
			changeId: this.changeId,
			author: this.author,
			acceptWarnings: this.acceptWarnings,
			checkOnly: this.check,
		};
		// A resend carries the same change ID, so it is not applied twice.
		for (let attempt = 1; ; attempt++) {
			const reply = await client.call('putPolicy', request);
			const isRetryable = reply.isErr() && reply.error.kind === faultKinds.unreachable;
			if (!isRetryable || attempt === maxAttempts) {
				return reply;
			}
		}
	}

	private async expectedVersion(client: NodeClient, name: string): Promise<Result<number, Fault>> {
		if (this.expect !== undefined) {
			return ok(Number(this.expect));
		}

		const current = await client.call('getPolicy', {name});
		if (current.isErr() && current.error.kind === faultKinds.notFound) {
			return ok(0);
		}

		return current.map(({sections}) => sections[0]?.version ?? 0);
	}
}

const isInForce = (reply: Result<GetInForceReply, Fault>): boolean =>
	reply.isOk() &&
	reply.value.dataCentres.every(({nodes, members, answers}) => answers && nodes >= members);
