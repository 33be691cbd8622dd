import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle drain [MEMBER]` and `undrain`: start and end the draining of a member.
 *
 * @example
 * cli.register(Drain);
 */
export class Drain extends NodeCommand {
	static override paths = [['drain'], ['undrain']];
	static override usage = Command.Usage({
		description: 'Stop a member from taking new work (drain), or let it take work again (undrain)',
		details: 'Without a member, the command applies to the node itself. Work in flight continues.',
	});

	member = Option.String({required: false});

	override async execute(): Promise<number> {
		const draining = this.path[0] === 'drain';
		return this.runQuery(
			async client => client.call('setDraining', {member: this.member ?? '', draining}),
			({member}) => {
				this.print(draining ? `${member} takes no new work` : `${member} takes work again`);
			},
		);
	}
}
