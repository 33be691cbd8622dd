import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle explain [KEY|CALL]`: tells why requests were refused.
 *
 * @example
 * cli.register(Explain);
 */
export class Explain extends NodeCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Tell why a request was refused at this node',
		details: 'The request is named by its idempotency key or by the medlar-root-id of its answer.',
	});

	subject = Option.String({required: false});

	override async execute(): Promise<number> {
		return this.ask(
			async operators => operators.call('explain', {subject: this.subject ?? ''}),
			({explanations}) => {
				this.printTable(
					[
						'at',
						'service',
						'job',
						'rank',
						'cohort',
						'cutoff',
						'refused by',
						'limit',
						'fault',
						'run',
						'policy',
						'why',
					],
					explanations.map(found => [
						new Date(found.atMs).toISOString(),
						found.service,
						found.job,
						found.rank,
						String(found.cohort),
						found.cutoff.toFixed(0),
						found.refusedBy,
						found.limit === 0 ? '' : String(found.limit),
						found.fault,
						found.run,
						String(found.policyVersion),
						`${found.what}. ${found.remedy}.`,
					]),
				);
			},
		);
	}
}
