import type {GetStatusReply} from '@medlarsaddle/api';
import {Command} from 'clipanion';
import {NodeCommand} from './node-command.js';

const cohortCount = 128;

/**
 * `medlarsaddle status`: prints the state of the node.
 *
 * @example
 * cli.register(Status);
 */
export class Status extends NodeCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({description: 'Print the state of the node'});

	override async execute(): Promise<number> {
		return this.runQuery(
			async client => client.call('getStatus', {}),
			status => {
				this.printStatus(status);
			},
		);
	}

	private printStatus(status: GetStatusReply): void {
		const {node, dataCentre, version, draining, storeAvailable, gateway} = status;
		this.print(`node ${node} in ${dataCentre}, version ${version}`);
		this.print(
			[
				draining ? 'draining' : 'taking work',
				storeAvailable ? 'store answers' : 'STORE DOES NOT ANSWER',
				gateway ? 'gateway' : '',
			]
				.filter(word => word !== '')
				.join(', '),
		);
		this.print(
			`upstream: ${status.inFlight} in flight, ${status.waiting} waiting, limit ${status.limit}; ${status.rememberedKeys} keys remembered`,
		);
		this.printTable(
			['rank', 'admitted'],
			status.ranks.map((rank, index) => [
				rank,
				`${Math.round(((status.cutoffs[index] ?? cohortCount) / cohortCount) * 100)}%`,
			]),
		);
		this.printTable(
			['data centre', 'members or contacts', 'heard'],
			status.dataCentres.map(({name, members, heardMsAgo}) => [
				name,
				String(members),
				heardMsAgo < 0 ? 'never' : `${(heardMsAgo / 1000).toFixed(1)} s ago`,
			]),
		);
		if (status.held.length > 0) {
			this.printTable(
				['request', 'service', 'job', 'crashes', 'state', 'until'],
				status.held.map(({fingerprint, service, job, crashes, held, expiresMs}) => [
					fingerprint,
					service,
					job,
					String(crashes),
					held ? 'held' : 'suspected',
					new Date(expiresMs).toISOString(),
				]),
			);
		}
	}
}
