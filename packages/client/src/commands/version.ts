import {Command} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import {clientVersion} from '../client-version.js';
import {NodeClient} from '../node-client.js';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle version`: prints the versions of the client and the node.
 *
 * @example
 * cli.register(Version);
 */
export class Version extends NodeCommand {
	static override paths = [['version']];
	static override usage = Command.Usage({
		description: 'Print the version of the client, and of the node if it answers',
	});

	override async execute(): Promise<number> {
		const client = NodeClient.connect(this.node);
		const status = await client.call('getStatus', {});
		client.close();
		const node = status.isOk() ? status.value.version : undefined;
		if (this.json) {
			this.printJson({client: clientVersion, node});
		} else {
			this.print(`client ${clientVersion}, node ${node ?? 'does not answer'}`);
		}

		return exitCodes.ok;
	}
}
