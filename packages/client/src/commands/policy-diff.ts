import {faultKinds} from '@medlarsaddle/core';
import {Command, Option} from 'clipanion';
import {createTwoFilesPatch} from 'diff';
import {ok} from 'neverthrow';
import {readSectionFile} from '../read-section-file.js';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle policy diff FILE`: compares a file with the section in force.
 *
 * @example
 * cli.register(PolicyDiff);
 */
export class PolicyDiff extends NodeCommand {
	static override paths = [['policy', 'diff']];
	static override usage = Command.Usage({
		description: 'Compare a policy file with the section in force',
	});

	file = Option.String();

	override async execute(): Promise<number> {
		const file = await readSectionFile(this.file);
		if (file.isErr()) {
			return this.fail(file.error);
		}

		const {name, text} = file.value;
		return this.runQuery(
			async client => {
				const current = await client.call('getPolicy', {name});
				const currentOrEmpty =
					current.isErr() && current.error.kind === faultKinds.notFound
						? ok({sections: []})
						: current;
				return currentOrEmpty.map(({sections}) => {
					const [section] = sections;
					const from = `${name} version ${section?.version ?? 0}`;
					return {patch: createTwoFilesPatch(from, this.file, section?.text ?? '', text)};
				});
			},
			({patch}) => {
				this.print(patch.trimEnd());
			},
		);
	}
}
