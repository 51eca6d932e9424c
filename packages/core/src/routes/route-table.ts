/** Finds the route of a request by host and path. */
import {AccountIndex} from '../accounts/account-index.js';
import type {GatewayConfiguration, Route, ServiceSettings} from './route.js';

/** Lookup index over one configuration, built once when that takes effect. */
export class RouteTable {
	/** Undefined where callers need no account. */
	readonly accounts: AccountIndex | undefined;
	/** The routes of each host, longest prefix first. */
	readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;
	readonly #services: ReadonlyMap<string, ServiceSettings>;

	constructor(readonly configuration: GatewayConfiguration) {
		this.#routesByHost = new Map(configuration.hosts.map(({host, routes}) => [
			host.toLowerCase(),
			routes.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length),
		]));
		this.#services = new Map(configuration.services.map(service => [service.id, service]));
		this.accounts = configuration.accounts === undefined ? undefined : new AccountIndex(configuration.accounts);
	}

	/**
	 * Returns the route with the longest prefix that matches, if any.
	 *
	 * @param host - as the caller sent it, with or without a port
	 * @param path - with or without a query
	 */
	match(host: string, path: string): Route | undefined {
		return this.#routesByHost.get(hostNameOf(host))?.find(route => path.startsWith(route.pathPrefix));
	}

	service(id: string): ServiceSettings | undefined {
		return this.#services.get(id);
	}
}

/** @param host - value of a Host header */
export function hostNameOf(host: string): string {
	return host.replace(/:\d+$/, '').toLowerCase();
}
