import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle policy history [SECTION]`: lists accepted changes, newest first.
 *
 * @example
 * cli.register(PolicyHistory);
 */
export class PolicyHistory extends NodeCommand {
	static override paths = [['policy', 'history']];
	static override usage = Command.Usage({description: 'List accepted changes, newest first'});

	section = Option.String({required: false});

	override async execute(): Promise<number> {
		const name = this.section ?? '';
		return this.runQuery(
			async client => client.call('getHistory', {name}),
			({changes}) => {
				this.printTable(
					['at', 'section', 'version', 'author', 'change'],
					changes.map(({atMs, section, version, author, changeId}) => [
						new Date(atMs).toISOString(),
						section,
						String(version),
						author,
						changeId,
					]),
				);
			},
		);
	}
}
