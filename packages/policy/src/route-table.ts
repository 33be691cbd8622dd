import type {z} from 'zod';
import type {Route} from './route.js';
import type {routesSection} from './routes-section.js';

type Body = z.infer<typeof routesSection>;

/**
 * Finds the route of a request: the one of its host that has the longest matching path prefix.
 *
 * @example
 * const route = RouteTable.of(body).find('shop.example', '/pay/1?x=2');
 */
export class RouteTable {
	/** Builds a table from the validated content of a routes section. */
	static of(body: Body): RouteTable {
		return new RouteTable(body);
	}

	readonly callerLimits: Body['callerLimits'];
	/** Least urgent rank of any route. */
	readonly leastUrgentRank: number;
	private readonly byHost = new Map<string, Map<string, Route>>();
	private readonly incompleteHosts: ReadonlySet<string>;
	private readonly services: ReadonlyMap<string, Body['services'][number]>;

	private constructor(body: Body) {
		this.callerLimits = body.callerLimits;
		this.incompleteHosts = new Set(body.incompleteHosts);
		this.services = new Map(body.services.map(service => [service.name, service]));
		this.leastUrgentRank = Math.max(0, ...body.routes.map(({rank}) => rank));
		for (const route of body.routes) {
			const routes = this.byHost.get(route.host) ?? new Map<string, Route>();
			this.byHost.set(route.host, routes.set(route.pathPrefix, route));
		}
	}

	/**
	 * Returns the route of a request target, or undefined if none matches. `host` may include a port.
	 */
	find(host: string, target: string): Route | undefined {
		const routes = this.byHost.get(nameOf(host));
		if (!routes) {
			return undefined;
		}

		const queryIndex = target.indexOf('?');
		const path = queryIndex === -1 ? target : target.slice(0, queryIndex);
		for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			const route = routes.get(path.slice(0, end + 1));
			if (route ?? end === 0) {
				return route;
			}
		}

		return undefined;
	}

	/** Whether a host, which may include a port, has a route that is not in the table. */
	isIncomplete(host: string): boolean {
		return this.incompleteHosts.has(nameOf(host));
	}

	/** Configuration of a service; undefined if the section does not list it. */
	service(name: string): Body['services'][number] | undefined {
		return this.services.get(name);
	}
}

const nameOf = (host: string): string => host.toLowerCase().replace(/:\d*$/v, '');
