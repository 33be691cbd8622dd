import {Fault, type ManualClock, createRandom, faultKinds, hash32} from '@medlarsaddle/core';
import {type ReaderHeartbeat, type StoreRole, rumorKinds} from '@medlarsaddle/members';
import {type NodeCore, nextTurn} from '@medlarsaddle/node';
import {
	type StoreClient,
	StoreEra,
	discoverMembers,
	followConfiguration,
} from '@medlarsaddle/platform';
import type {StorePosition} from '@medlarsaddle/records';
import {err, ok} from 'neverthrow';
import {ObjectTable} from '../platform/object-table.js';
import {GossipNetwork} from './gossip-network.js';

type Opts = {
	readonly seed: number;
	readonly dataCentres: number;
	readonly hosts: number;
};

type StoreMember = ReturnType<GossipNetwork['add']>;
type WatchTimes = {readonly waitMs: number; readonly patienceMs: number};
type ListOpts = {readonly isStaleAllowed?: boolean; readonly timeoutMs?: number};
type TurnTimes = {readonly elapsedMs: number; readonly spacingMs: number};
type StoredObject = ReturnType<ObjectTable['list']>[number];
type Spec = {readonly name: string; readonly spec: unknown};

const callMs = 5;
const callTimeoutMs = 1000;
const watchPollMs = 50;
const inForceMs = 2000;

/**
 * Many nodes that use the platform's store, on a manual clock: the real tasks of discovery and of the
 * configuration, over simulated gossip and a store that counts its calls by kind and can turn hosts
 * away or fall silent to them.
 *
 * @example
 * const fleet = StoreFleet.start({seed: 1, dataCentres: 5, hosts: 60});
 * await fleet.clock.advance(10_000);
 */
export class StoreFleet {
	/** Starts all hosts at once, as for the first time. */
	static start(opts: Opts): StoreFleet {
		const fleet = new StoreFleet(opts);
		for (let index = 0; index < opts.hosts; index++) {
			fleet.add(`dc${(index % opts.dataCentres) + 1}`, true);
		}

		return fleet;
	}

	readonly network: GossipNetwork;
	/** Latest version of the configuration that was written. */
	version = 0;
	/** Calls since the start, by kind. */
	readonly calls = new Map<string, number>();
	/** Hosts that the store turns away. */
	readonly turnedAway = new Set<string>();
	/** Hosts whose calls, and watches in progress, the store does not answer. */
	readonly unanswered = new Set<string>();
	/** Hosts whose watches the store cuts off as they begin. */
	readonly cutOff = new Set<string>();
	/** Hosts whose watches never report anything, as on a connection that has silently failed. */
	readonly silent = new Set<string>();
	private readonly objects: ObjectTable;
	/** Watches that began earlier, in monotonic milliseconds, wait on connections that carry nothing. */
	private silencedBeforeMs = Number.NEGATIVE_INFINITY;
	/** Number of times that all waiting watches were cut off. */
	private watchCuts = 0;

	private constructor(private readonly opts: Opts) {
		this.network = GossipNetwork.create({seed: opts.seed, groupOf: () => 'r'});
		this.objects = ObjectTable.create(this.network.clock);
		this.configure();
	}

	/** Clock of all hosts. */
	get clock(): ManualClock {
		return this.network.clock;
	}

	/** Price of the calls so far, where a stale read counts a tenth. */
	get price(): number {
		return [...this.calls].reduce(
			(sum, [kind, count]) => sum + (kind === 'list-stale' ? count / 10 : count),
			0,
		);
	}

	/** Share of the hosts that have the latest configuration in force. */
	get shareInForce(): number {
		const {members} = this.network;
		const current = members.filter(({versions}) => versions.get('routes') === this.version);
		return current.length / members.length;
	}

	/** Writes the next version of the configuration, as the operator does. */
	configure(): void {
		this.version++;
		this.writeConfiguration();
	}

	/** Writes the latest version of the configuration again, as the operator does after a restore. */
	writeConfiguration(): void {
		const spec = {
			version: this.version,
			limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
			listeners: [],
			clusters: [],
		};
		this.write('config', 'main', spec);
	}

	/** Silences the connections on which watches wait now; new ones work. */
	silenceWatches(): void {
		this.silencedBeforeMs = this.clock.monotonic();
	}

	/** Restores the store from a copy of the given age; waiting watches are cut off or continue. */
	restore({ageMs, areWatchesCut}: {ageMs: number; areWatchesCut: boolean}): void {
		this.objects.restore(this.objects.revisionAt(this.clock.monotonic() - ageMs));
		this.watchCuts += areWatchesCut ? 1 : 0;
	}

	/** Adds a host without seeds. */
	add(dataCentre: string, isFirstStart = false): StoreMember {
		const {clock} = this.network;
		const member = this.network.add(dataCentre, undefined, []);
		const {gossip, versions, port} = member;
		const core = {
			clock,
			random: createRandom(hash32(`${this.opts.seed} ${port}`)),
			log() {},
			self: () => gossip.self,
			members: () => gossip.table.alive,
			routes: () => (versions.has('routes') ? {} : undefined),
			versionOf: (name: string) => versions.get(name) ?? 0,
			nextStoreTurn: (role: StoreRole, times: TurnTimes) => nextTurn({gossip, role, ...times}),
			hasStoreRole: (role: StoreRole) => gossip.hasStoreRole(role),
			sendReaderHeartbeat(role: StoreRole, heartbeat: ReaderHeartbeat) {
				const rumors = [...versions].map(([name, version]) => ({
					kind: rumorKinds.section,
					name,
					version,
				}));
				gossip.readerHeartbeats.send(role, heartbeat, rumors);
			},
			onReaderHeartbeat: gossip.readerHeartbeats.onHeartbeat.bind(gossip.readerHeartbeats),
			announceStoreLost(hasLostStore: boolean) {
				gossip.updateSelf({hasLostStore});
			},
			join: gossip.join,
			onSection(listener: () => void, signal: AbortSignal) {
				member.listeners.add(listener);
				signal.addEventListener('abort', () => member.listeners.delete(listener));
			},
			applySection: ({version}: {version: number}) => {
				this.network.put(member, 'routes', version);
				return true;
			},
		} as unknown as NodeCore;
		const store = this.storeFor(gossip.self.id);
		const {signal} = new AbortController();
		void discoverMembers({core, store, isFirstStart})(signal, () => {});
		void followConfiguration({core, store, isFirstStart, inForceMs})(signal, () => {});
		return member;
	}

	private storeFor(id: string): StoreClient {
		const era = StoreEra.create();
		const call = async <Value>(kind: string, answer: () => Value, timeoutMs = callTimeoutMs) => {
			this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
			await this.clock.sleep(this.unanswered.has(id) ? timeoutMs : callMs);
			if (this.unanswered.has(id) || this.turnedAway.has(id)) {
				return err(turnedAwayFault);
			}

			era.note(this.objects.era);
			return ok(answer());
		};

		return {
			era,
			list: async (kind: string, _signal: AbortSignal, opts?: ListOpts) =>
				call(
					opts?.isStaleAllowed ? 'list-stale' : 'list',
					() => this.pageOf(kind),
					opts?.timeoutMs,
				),
			create: async (kind: string, {name, spec}: Spec) =>
				call('create', () => this.toObject(this.write(kind, name, spec))),
			replace: async (kind: string, {name, spec}: Spec) =>
				call('replace', () => this.toObject(this.write(kind, name, spec))),
			remove: async (kind: string, name: string) =>
				call('remove', () => this.objects.remove(kind, this.objects.get(kind, name)!)),
			watch: async (
				kind: string,
				position: StorePosition,
				times: WatchTimes,
				signal: AbortSignal,
			) => {
				const page = await this.watch(id, {kind, ...position, ...times, signal});
				era.note(page.isOk() ? page.value.position.era : 0);
				return position.era === era.current ? page : err(historyGoneFault);
			},
		} as unknown as StoreClient;
	}

	private async watch(
		id: string,
		{
			kind,
			revision,
			waitMs,
			patienceMs,
			signal,
		}: WatchTimes & {kind: string; revision: number; signal: AbortSignal},
	) {
		this.calls.set('watch', (this.calls.get('watch') ?? 0) + 1);
		const {watchCuts} = this;
		if (revision > this.objects.storeRevision) {
			return err(historyGoneFault);
		}

		const startMs = this.clock.monotonic();
		const endMs = startMs + waitMs;
		const hasChanged = () => (this.objects.changesAfter(kind, revision) ?? []).length > 0;
		const isSilenced = () => startMs <= this.silencedBeforeMs;
		while (this.clock.monotonic() < endMs && !signal.aborted) {
			if (this.turnedAway.has(id) || this.cutOff.has(id) || this.watchCuts > watchCuts) {
				await this.clock.sleep(callMs);
				return err(turnedAwayFault);
			}

			const isHeard = !this.silent.has(id) && !this.unanswered.has(id) && !isSilenced();
			if (hasChanged() && isHeard) {
				break;
			}

			await this.clock.sleep(watchPollMs);
		}

		if (isSilenced() || this.unanswered.has(id)) {
			await this.clock.sleep(patienceMs);
		}

		if (this.silent.has(id) || this.unanswered.has(id) || isSilenced()) {
			return err(turnedAwayFault);
		}

		const page = this.pageOf(kind);
		return ok(hasChanged() ? page : {...page, objects: []});
	}

	private pageOf(kind: string) {
		const {era, storeRevision: revision} = this.objects;
		const objects = this.objects.list(kind).map(object => this.toObject(object));
		return {objects, position: {era, revision}};
	}

	private toObject({metadata: {name, revision}, spec}: StoredObject) {
		return {name, spec, position: {era: this.objects.era, revision}};
	}

	private write(kind: string, name: string, spec: unknown): StoredObject {
		const known = this.objects.get(kind, name);
		return known ? this.objects.edit(kind, known, {spec}) : this.objects.add(kind, name, {spec})!;
	}
}

const turnedAwayFault = Fault.of(faultKinds.storeUnavailable, 'turned away', 'wait');
const historyGoneFault = Fault.of(faultKinds.notFound, 'history gone', 'list again');
