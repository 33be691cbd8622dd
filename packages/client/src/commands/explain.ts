import {Command, Option} from 'clipanion';
import {NodeCommand} from './node-command.js';

/**
 * `medlarsaddle explain [KEY|CALL]`: explains why requests were refused.
 *
 * @example
 * cli.register(Explain);
 */
export class Explain extends NodeCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Explain why a request was refused at this node',
		details:
			'The request is identified by its idempotency key or by the medlar-root-id header of its answer.',
	});

	subject = Option.String({required: false});

	override async execute(): Promise<number> {
		return this.runQuery(
			async client => client.call('explain', {subject: this.subject ?? ''}),
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
					explanations.map(explanation => [
						new Date(explanation.atMs).toISOString(),
						explanation.service,
						explanation.job,
						explanation.rank,
						String(explanation.cohort),
						explanation.cutoff.toFixed(0),
						explanation.refusedBy,
						explanation.limit === 0 ? '' : String(explanation.limit),
						explanation.fault,
						explanation.run,
						String(explanation.policyVersion),
						`${explanation.what}. ${explanation.remedy}.`,
					]),
				);
			},
		);
	}
}
