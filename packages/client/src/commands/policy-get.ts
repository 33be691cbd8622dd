import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle policy get [SECTION]`: prints policy sections.
 *
 * @example
 * cli.register(PolicyGet);
 */
export class PolicyGet extends NodeCommand {
	static override paths = [['policy', 'get']];
	static override usage = Command.Usage({
		description: 'Print one policy section, or list all of them',
	});

	section = Option.String({required: false});

	override async execute(): Promise<number> {
		const name = this.section ?? '';
		return this.runQuery(
			async client => client.call('getPolicy', {name}),
			({sections}) => {
				if (this.section !== undefined) {
					this.print(sections[0]!.text.trimEnd());
					return;
				}

				this.printTable(
					['section', 'version', 'author', 'at'],
					sections.map(({name: section, version, author, atMs}) => [
						section,
						String(version),
						author,
						new Date(atMs).toISOString(),
					]),
				);
			},
		);
	}
}
