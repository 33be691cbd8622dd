import type {Endpoint} from '@medlarsaddle/control';
import {type Gossip, type Member, memberStates} from '@medlarsaddle/members';

/**
 * Endpoints by service, derived from the member table.
 *
 * @example
 * const endpoints = directory.endpointsOf('payment');
 */
export class EndpointDirectory {
	/** Creates a directory of the members in the table of `gossip`. */
	static create(gossip: () => Gossip): EndpointDirectory {
		return new EndpointDirectory(gossip);
	}

	private byService: Map<string, Endpoint[]> | undefined;
	private hostCounts: ReadonlyMap<string, number> | undefined;

	private constructor(private readonly gossip: () => Gossip) {}

	/** Endpoints of a service that accept new calls. */
	endpointsOf(service: string): readonly Endpoint[] {
		this.byService ??= this.buildIndex();
		return this.byService.get(service) ?? [];
	}

	/** Endpoints of all services. */
	get all(): readonly Endpoint[] {
		this.byService ??= this.buildIndex();
		return [...this.byService.values()].flat();
	}

	/** Number of hosts of each service. */
	get hostsByService(): ReadonlyMap<string, number> {
		this.byService ??= this.buildIndex();
		this.hostCounts ??= new Map(
			[...this.byService].map(([service, endpoints]) => [service, endpoints.length]),
		);
		return this.hostCounts;
	}

	/** Nodes that offer any service. */
	get nodes(): ReadonlySet<string> {
		return new Set(this.all.map(({node}) => node));
	}

	/** The member that has taken over the keys of the given issuer. */
	successorOf(issuer: string): Member | undefined {
		return this.gossip().table.alive.find(({inherits}) => inherits?.includes(issuer));
	}

	/** The member with a node ID, if it is alive. */
	memberOf(node: string): Member | undefined {
		return this.gossip().table.getAlive(node);
	}

	/** Discards the endpoints, which the next access derives again. */
	invalidate(): void {
		this.byService = undefined;
		this.hostCounts = undefined;
	}

	private buildIndex(): Map<string, Endpoint[]> {
		const byService = new Map<string, Endpoint[]>();
		for (const {id, dataCentre, offers, state} of this.gossip().table.alive) {
			const isSuspect = state === memberStates.suspect;
			for (const {service, slots, draining} of offers) {
				if (!draining) {
					const endpoint = {node: id, service, dataCentre, weight: slots, isSuspect};
					byService.set(service, [...(byService.get(service) ?? []), endpoint]);
				}
			}
		}

		return byService;
	}
}
