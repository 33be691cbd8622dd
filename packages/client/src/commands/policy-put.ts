import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';
import type {GetInForceReply, PutPolicyReply} from '@medlarsaddle/api';
import {type Fault, faultKinds} from '@medlarsaddle/core';
import {Command, Option} from 'clipanion';
import {type Result, err, ok} from 'neverthrow';
import {exitCodes} from '../exit-codes.js';
import type {Operators} from '../operators.js';
import {readSectionFile} from '../read-section-file.js';
import {NodeCommand} from './node-command.js';

const maxTries = 3;
const waitRoundMs = 250;
const maxWaitRounds = 40;

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
			'The version that the change is made to is the one in force when the command starts, or the one that --expect names. A change that lost a race is refused and nothing is changed.',
	});

	file = Option.String();
	expect = Option.String('--expect', {description: 'Version that the change was made to'});
	author = Option.String('--author', userInfo().username, {description: 'Who makes the change'});
	changeId = Option.String('--change-id', randomUUID(), {
		description: 'ID of the change; the same again after an answer was lost',
	});

	acceptWarnings = Option.Boolean('--accept-warnings', false, {
		description: 'Put it although it has warnings',
	});

	wait = Option.Boolean('--wait', false, {
		description: 'Wait until it is in force in every node that answers, and tell where it is',
	});

	check = Option.Boolean('--check', false, {description: 'Check only, change nothing'});

	override async execute(): Promise<number> {
		const file = await readSectionFile(this.file);
		if (file.isErr()) {
			return this.fail(file.error);
		}

		let isHeldBack = false;
		let acceptedVersion = 0;
		const code = await this.ask(
			async operators => this.put(operators, file.value.name, file.value.text),
			({version, warnings, accepted}) => {
				for (const warning of warnings) {
					this.print(`warning: ${warning}`);
				}

				if (accepted) {
					this.print(`section ${file.value.name} is in force with version ${version}`);
				} else if (isHeldBack) {
					this.print('not put: repeat with --accept-warnings if this is what you want');
				} else {
					this.print('the file is good');
				}
			},
			({version, accepted}) => {
				isHeldBack = !accepted && !this.check;
				acceptedVersion = accepted ? version : 0;
			},
		);
		if (isHeldBack) {
			return exitCodes.needsConsent;
		}

		return this.wait && acceptedVersion > 0
			? this.waitUntilInForce(file.value.name, acceptedVersion)
			: code;
	}

	/** Asks until the section is in force everywhere, or for as long as the limit allows. */
	private async waitUntilInForce(name: string, version: number): Promise<number> {
		let isEverywhere = false;
		const code = await this.ask(
			async operators => {
				let reply = await operators.call('getInForce', {name, version});
				for (let round = 1; round < maxWaitRounds && !isInForce(reply); round++) {
					await delay(waitRoundMs);
					reply = await operators.call('getInForce', {name, version});
				}

				isEverywhere = isInForce(reply);
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
		return code === exitCodes.ok && !isEverywhere ? exitCodes.unavailable : code;
	}

	private async put(
		operators: Operators,
		name: string,
		text: string,
	): Promise<Result<PutPolicyReply, Fault>> {
		const version = await this.expectedVersion(operators, name);
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
		// A resend carries the same change ID, so it can't be applied twice.
		for (let attempt = 1; ; attempt++) {
			const reply = await operators.call('putPolicy', request);
			const mayRetry = reply.isErr() && reply.error.kind === faultKinds.unreachable;
			if (!mayRetry || attempt === maxTries) {
				return reply;
			}
		}
	}

	private async expectedVersion(
		operators: Operators,
		name: string,
	): Promise<Result<number, Fault>> {
		if (this.expect !== undefined) {
			return ok(Number(this.expect));
		}

		const current = await operators.call('getPolicy', {name});
		if (current.isErr() && current.error.kind === faultKinds.notFound) {
			return ok(0);
		}

		return current.map(({sections}) => sections[0]?.version ?? 0);
	}
}

const isInForce = (reply: Result<GetInForceReply, Fault>): boolean =>
	reply.isOk() &&
	reply.value.dataCentres.every(({nodes, members, answers}) => answers && nodes >= members);
