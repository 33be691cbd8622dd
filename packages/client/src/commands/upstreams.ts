import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle upstreams [SERVICE]`: lists the upstreams of the node's data centre.
 *
 * @example
 * cli.register(Upstreams);
 */
export class Upstreams extends NodeCommand {
	static override paths = [['upstreams']];
	static override usage = Command.Usage({
		description: "List the upstreams of the node's data centre",
	});

	service = Option.String({required: false});

	override async execute(): Promise<number> {
		return this.runQuery(
			async client => client.call('getUpstreams', {service: this.service ?? ''}),
			({upstreams}) => {
				this.printTable(
					['node', 'data centre', 'service', 'slots', 'state'],
					upstreams.map(({node, dataCentre, service, slots, state, draining, ejected}) => [
						node,
						dataCentre,
						service,
						String(slots),
						[state, draining ? 'draining' : '', ejected ? 'ejected here' : '']
							.filter(word => word !== '')
							.join(', '),
					]),
				);
			},
		);
	}
}
