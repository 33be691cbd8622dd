import {type Clock, type Log, type Random, Fault, faultKinds} from '@medlarsaddle/core';
import type * as api from '@medlarsaddle/api';
import {type KeyLedger, Cutoffs, type Quarantine} from '@medlarsaddle/control';
import {type Gossip, memberStates} from '@medlarsaddle/members';
import type {ObjectStore} from '@medlarsaddle/records';
import {messageTypes} from '@medlarsaddle/wire';
import {type Result, err, ok} from 'neverthrow';
import type {EndpointSelector} from '../calls/endpoint-selector.js';
import type {EndpointDirectory} from '../calls/endpoint-directory.js';
import type {Config} from '../config/config.js';
import type {StoreHealth} from '../config/store-health.js';
import {countRemoteHolders} from '../peers/count-remote-holders.js';
import {countLocalHolders} from '../peers/count-local-holders.js';
import type {Peers} from '../peers/peers.js';
import type {Explanations} from '../report/explanations.js';
import type {RollUp} from '../report/roll-up.js';
import type {UpstreamProxy} from '../upstream/upstream-proxy.js';
import {buildReport} from '../report/build-report.js';
import {getHistory} from './get-history.js';
import {putPolicy} from './put-policy.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly version: string;
	readonly config: Config;
	readonly store: ObjectStore | undefined;
	readonly health: StoreHealth;
	readonly gossip: Gossip;
	readonly directory: EndpointDirectory;
	readonly selector: EndpointSelector;
	readonly peers: Peers;
	readonly upstream: UpstreamProxy;
	readonly quarantine: Quarantine;
	readonly ledger: Pick<KeyLedger<unknown>, 'size'>;
	readonly rollUp: Pick<RollUp, 'own'>;
	readonly rollUpMs: number;
	readonly explanations: Explanations;
	readonly storeCalls: () => Promise<Record<string, number>>;
};

type Reply<Message> = Result<Message, Fault>;

const crashesToHold = 2;

/**
 * Queries and commands of operators, independent of how the calls are encoded.
 *
 * @example
 * const status = await queries.status();
 */
export class Queries {
	/** Creates the queries of a node. */
	static create(opts: Opts): Queries {
		return new Queries(opts);
	}

	/** Never aborts: a write continues until it is settled, even when the operator disconnects. */
	private readonly signal = new AbortController().signal;

	private constructor(private readonly opts: Opts) {}

	/** Policy sections in force on this node. */
	policy({name}: api.GetPolicyRequest): Reply<api.GetPolicyReply> {
		const sections = [...this.opts.config.policy.sections.values()]
			.filter(section => name === '' || section.name === name)
			.toSorted((a, b) => (a.name < b.name ? -1 : 1));
		return name !== '' && sections.length === 0 ? err(noSection(name)) : ok({sections});
	}

	/** Checks a policy change, writes it to the platform and puts it in force on this node. */
	async put(request: api.PutPolicyRequest): Promise<Reply<api.PutPolicyReply>> {
		return putPolicy(this.opts, request, this.signal);
	}

	/** Number of nodes of each data centre in which a section version is in force. */
	async inForce({name, version}: api.GetInForceRequest): Promise<Reply<api.GetInForceReply>> {
		const {gossip} = this.opts;
		const local = await countLocalHolders(this.opts, name, version);
		const remote = await Promise.all(
			gossip.contacts.groups.map(async dataCentre => ({
				dataCentre,
				count: await countRemoteHolders(this.opts, dataCentre, name, version),
			})),
		);
		const dataCentres = [
			{
				dataCentre: gossip.self.dataCentre,
				nodes: local.held,
				members: local.members,
				answers: true,
			},
			...remote.map(({dataCentre, count}) => ({
				dataCentre,
				nodes: count?.held ?? 0,
				members: count?.members ?? 0,
				answers: count !== undefined,
			})),
		];
		return ok({dataCentres});
	}

	/** Accepted policy changes, newest first. */
	async history({name}: api.GetHistoryRequest): Promise<Reply<api.GetHistoryReply>> {
		if (!this.opts.store) {
			return err(noHistory);
		}

		const changes = await getHistory(this.opts.store, name, this.signal);
		return changes.map(found => ({changes: found}));
	}

	/** Upstreams of this data centre. */
	upstreams({service}: api.GetUpstreamsRequest): Reply<api.GetUpstreamsReply> {
		const {gossip, selector} = this.opts;
		const upstreams = gossip.table.all.flatMap(({id, dataCentre, state, offers}) =>
			offers
				.filter(offer => service === '' || offer.service === service)
				.map(offer => ({
					node: id,
					dataCentre,
					service: offer.service,
					slots: offer.slots,
					draining: offer.draining,
					state,
					ejected: selector.isEjected(id),
				})),
		);
		return ok({upstreams: upstreams.toSorted((a, b) => (a.node < b.node ? -1 : 1))});
	}

	/** Status of this node: admission, quarantine, policy ranks, membership and store. */
	async status(): Promise<Reply<api.GetStatusReply>> {
		const {gossip, upstream, config, health, quarantine, ledger, version, storeCalls} = this.opts;
		const ranks = config.policy.base.ranks.map(({name}) => name);
		const {admission} = upstream;
		return ok({
			node: gossip.self.id,
			dataCentre: gossip.self.dataCentre,
			version,
			draining: upstream.isDraining,
			storeAvailable: health.isAvailable,
			inFlight: admission?.inFlight ?? 0,
			waiting: admission?.waiting ?? 0,
			limit: admission?.limitValue ?? 0,
			cutoffs: [...(admission?.cutoffs ?? Cutoffs.open(ranks.length)).values],
			ranks,
			gateway: gossip.isGateway,
			held: quarantine.entries.map(({crashes, ...entry}) => ({
				...entry,
				crashes: crashes.length,
				held: crashes.length >= crashesToHold,
			})),
			dataCentres: this.dataCentres(),
			storeCalls: await storeCalls(),
			rememberedKeys: ledger.size,
		});
	}

	/** Starts or ends draining of a member. */
	async setDraining(request: api.SetDrainingRequest): Promise<Reply<api.SetDrainingReply>> {
		const {gossip, upstream, peers, directory} = this.opts;
		const id = request.member === '' ? gossip.self.id : request.member;
		const {draining} = request;
		if (id === gossip.self.id) {
			upstream.setDraining(draining);
			return ok({member: id, draining});
		}

		const member = directory.memberOf(id);
		if (!member) {
			return err(noMember(id));
		}

		const reply = await peers.request(member, requestId => ({
			type: messageTypes.drain,
			id: requestId,
			draining,
		}));
		return reply?.type === messageTypes.drained
			? ok({member: id, draining})
			: err(unresponsiveMember(id));
	}

	/** Why requests were refused. */
	explain({subject}: api.ExplainRequest): Reply<api.ExplainReply> {
		return ok({explanations: this.opts.explanations.find(subject)});
	}

	/** How well each service and rank meets its objective. */
	async report(): Promise<Reply<api.GetReportReply>> {
		const {clock, store, config, gossip, rollUp, rollUpMs} = this.opts;
		const deps = {
			clock,
			store,
			policy: config.policy,
			node: gossip.self.id,
			dataCentres: [gossip.self.dataCentre, ...gossip.contacts.groups],
			own: rollUp.own,
			rollUpMs,
		};
		return ok(await buildReport(deps, this.signal));
	}

	private dataCentres(): api.DataCentre[] {
		const {table, contacts, self} = this.opts.gossip;
		const isAlive = (state: string) => state === memberStates.alive;
		const local = {
			name: self.dataCentre,
			members: table.alive.filter(({state}) => isAlive(state)).length,
			heardMsAgo: 0,
		};
		const others = contacts.groups.map(name => ({
			name,
			members: contacts.of(name).length,
			heardMsAgo: this.opts.gossip.sinceLastReceivedMs(name),
		}));
		return [local, ...others];
	}
}

const noSection = (name: string): Fault =>
	Fault.of(faultKinds.notFound, `There is no section ${name}`, 'List the sections with policy get');
const noHistory = Fault.of(
	faultKinds.storeUnavailable,
	'This node has no platform store to read the history from',
	'Start it with --store-url, or ask another node',
);
const noMember = (id: string): Fault =>
	Fault.of(
		faultKinds.notFound,
		`There is no member ${id} in this data centre`,
		'List them with upstreams',
	);
const unresponsiveMember = (id: string): Fault =>
	Fault.of(faultKinds.unreachable, `Member ${id} did not answer`, 'Ask it directly with --node');
