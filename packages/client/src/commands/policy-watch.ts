import {Command} from 'clipanion';
import {NodeClient} from '../node-client.js';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle policy watch`: prints each section as it comes into force at the node.
 *
 * @example
 * cli.register(PolicyWatch);
 */
export class PolicyWatch extends NodeCommand {
	static override paths = [['policy', 'watch']];
	static override usage = Command.Usage({
		description: 'Print each section as it comes into force at the node, until interrupted',
	});

	override async execute(): Promise<number> {
		const client = NodeClient.connect(this.node);
		const fault = await client.watch(section => {
			const {name, version, author, atMs} = section;
			this.print(
				this.json
					? JSON.stringify(section)
					: `${new Date(atMs).toISOString()} ${name} version ${version} by ${author}`,
			);
		});
		client.close();
		return this.fail(fault);
	}
}
