/** Finds the route of a request. */
import type {GatewayConfiguration, Route, ServiceSettings} from './route.js';

/** Index over one configuration, made once as it comes into force. */
export class RouteTable {
	/** Longest prefix first. */
	readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;
	readonly #services: ReadonlyMap<string, ServiceSettings>;

	constructor(readonly configuration: GatewayConfiguration) {
		this.#routesByHost = new Map(configuration.hosts.map(({host, routes}) => [
			host.toLowerCase(),
			routes.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length),
		]));
		this.#services = new Map(configuration.services.map(service => [service.id, service]));
	}

	/**
	 * @param host - as the caller sent it, with or without a port
	 * @param path - with or without a query
	 */
	match(host: string, path: string): Route | undefined {
		const name = host.replace(/:\d+$/, '').toLowerCase();
		return this.#routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
	}

	service(id: string): ServiceSettings | undefined {
		return this.#services.get(id);
	}
}
