import {addressOf} from './address-of.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {SectionHolders} from './section-holders.js';
import type {Membership} from './membership.js';
import type {Member} from './member.js';
import type {DatagramSender} from './datagram-sender.js';
import type {Roles} from './roles.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly membership: Membership;
	readonly roles: Roles;
	readonly datagramSender: DatagramSender;
};

/**
 * Tracks which members of a group have a section version in force. Members report to one collector
 * for each version, which every node computes for itself, so that nobody has to query every node.
 *
 * @example
 * rollout.report('routes', 7);
 * rollout.count('routes', 7); // on the collector
 */
export class RolloutTracker {
	/** Creates a tracker that has received no reports. */
	static create(opts: Opts): RolloutTracker {
		return new RolloutTracker(opts);
	}

	private readonly holders = SectionHolders.create();

	private constructor(private readonly opts: Opts) {}

	/** Reports to the collector that a section version is in force on this node. */
	report(name: string, version: number): void {
		const {id} = this.opts.membership.self;
		const collector = this.collectorOf(name, version);
		if (collector.id === id) {
			this.holders.add(name, version, id);
			return;
		}

		const rumor = {kind: rumorKinds.section, name, version};
		this.opts.datagramSender.send(addressOf(collector), datagramTypes.sectionInForce, [rumor]);
	}

	/** Records the reports of another member. */
	collect({rumors, from}: Datagram): void {
		for (const rumor of rumors) {
			if (rumor.kind === rumorKinds.section) {
				this.holders.add(rumor.name, rumor.version, from);
			}
		}
	}

	/** The member that collects the reports for a section version. */
	collectorOf(name: string, version: number): Member {
		return this.opts.roles.holderOf(`held ${name} ${version}`) ?? this.opts.membership.self;
	}

	/**
	 * Number of live members that reported to this node that they have a section version in force.
	 */
	count(name: string, version: number): number {
		const holders = this.holders.of(name, version);
		return this.opts.membership.table.alive.filter(({id}) => holders.has(id)).length;
	}
}
