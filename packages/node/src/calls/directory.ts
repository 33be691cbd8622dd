import type {Endpoint} from '@medlarsaddle/control';
import {type Gossip, type Member, memberStates} from '@medlarsaddle/members';

/**
 * Endpoints by service, from the member table.
 *
 * @example
 * const endpoints = directory.endpointsOf('payment');
 */
export class Directory {
	/** Creates a directory over the member table of `gossip`. */
	static create(gossip: () => Gossip): Directory {
		return new Directory(gossip);
	}

	private byService: Map<string, Endpoint[]> | undefined;

	private constructor(private readonly gossip: () => Gossip) {}

	/** Endpoints of this data centre that take new work. */
	endpointsOf(service: string): readonly Endpoint[] {
		this.byService ??= this.build();
		return this.byService.get(service) ?? [];
	}

	/** Endpoints of every service. */
	get all(): readonly Endpoint[] {
		this.byService ??= this.build();
		return [...this.byService.values()].flat();
	}

	/** Number of hosts of each service. */
	get hostsByService(): ReadonlyMap<string, number> {
		this.byService ??= this.build();
		return new Map([...this.byService].map(([service, endpoints]) => [service, endpoints.length]));
	}

	/** Nodes that offer any service. */
	get nodes(): ReadonlySet<string> {
		return new Set(this.all.map(({node}) => node));
	}

	/** The member that has taken over the keys of an issuing process. */
	heirOf(issuer: string): Member | undefined {
		return this.gossip().table.alive.find(({inherits}) => inherits?.includes(issuer));
	}

	/** The member of a node ID, while it is up. */
	memberOf(node: string): Member | undefined {
		const member = this.gossip().table.get(node);
		return member && this.gossip().table.alive.includes(member) ? member : undefined;
	}

	/** Works the endpoints out anew at the next call. */
	invalidate(): void {
		this.byService = undefined;
	}

	private build(): Map<string, Endpoint[]> {
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
