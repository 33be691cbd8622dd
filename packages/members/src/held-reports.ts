import {addressOf} from './address-of.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {HeldCounts} from './held-counts.js';
import type {Knowledge} from './knowledge.js';
import type {Member} from './member.js';
import type {Outbox} from './outbox.js';
import type {Roles} from './roles.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly knowledge: Knowledge;
	readonly roles: Roles;
	readonly outbox: Outbox;
};

/**
 * Who of a group has a section version in force, told to one member that every node works out for
 * itself, so that nobody asks each node.
 *
 * @example
 * reports.report('routes', 7);
 * reports.count('routes', 7); // on the member that collects
 */
export class HeldReports {
	/** Creates reports of which none has come in. */
	static create(opts: Opts): HeldReports {
		return new HeldReports(opts);
	}

	private readonly held = HeldCounts.create();

	private constructor(private readonly opts: Opts) {}

	/** Tells the member that collects for a section version that it is in force here. */
	report(name: string, version: number): void {
		const {id} = this.opts.knowledge.self;
		const collector = this.collectorOf(name, version);
		if (collector.id === id) {
			this.held.add(name, version, id);
			return;
		}

		const rumor = {kind: rumorKinds.section, name, version};
		this.opts.outbox.send(addressOf(collector), datagramTypes.held, [rumor]);
	}

	/** Takes in what another member told. */
	collect({rumors, from}: Datagram): void {
		for (const rumor of rumors) {
			if (rumor.kind === rumorKinds.section) {
				this.held.add(rumor.name, rumor.version, from);
			}
		}
	}

	/** The member that collects who has a section version in force. */
	collectorOf(name: string, version: number): Member {
		return this.opts.roles.holderOf(`held ${name} ${version}`) ?? this.opts.knowledge.self;
	}

	/** Members of this group that told this node that they have a section version in force. */
	count(name: string, version: number): number {
		const told = this.held.of(name, version);
		return this.opts.knowledge.table.alive.filter(({id}) => told.has(id)).length;
	}
}
