import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle drain [MEMBER]` and `undrain`: starts or ends draining.
 *
 * @example
 * cli.register(Drain);
 */
export class Drain extends NodeCommand {
	static override paths = [['drain'], ['undrain']];
	static override usage = Command.Usage({
		description: 'Let a member take no new work (drain), or take work again (undrain)',
		details: 'Without a member, the node itself is meant. Work in flight goes on.',
	});

	member = Option.String({required: false});

	override async execute(): Promise<number> {
		const draining = this.path[0] === 'drain';
		return this.ask(
			async operators => operators.call('setDraining', {member: this.member ?? '', draining}),
			({member}) => {
				this.print(draining ? `${member} takes no new work` : `${member} takes work again`);
			},
		);
	}
}
