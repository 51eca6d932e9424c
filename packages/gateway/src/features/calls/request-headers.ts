/** Removes the headers of callers that the gateway sets itself on requests to upstreams. */
import {HeaderFilter} from '@cairnbank/core/headers';
import type {RouteTable} from '@cairnbank/core/routes';
import type {RequestDialect} from '../../ports/index.js';

export class RequestHeaders {
	readonly #withoutAccounts: HeaderFilter;
	readonly #withAccounts: HeaderFilter;

	constructor({deadlineHeader, expectedUpstreamHeader, credentialsHeader, accountHeader}: RequestDialect) {
		this.#withoutAccounts = new HeaderFilter([deadlineHeader, expectedUpstreamHeader]);
		this.#withAccounts = new HeaderFilter([deadlineHeader, expectedUpstreamHeader, credentialsHeader, accountHeader, withUnderscores(accountHeader)]);
	}

	/** Returns the filter that applies under a configuration. */
	filterFor(routes: RouteTable | undefined): HeaderFilter {
		return routes?.accounts === undefined ? this.#withoutAccounts : this.#withAccounts;
	}
}

/** Returns a header name as servers may read it that take hyphens and underscores for the same character. */
function withUnderscores(name: string): string {
	return name.replaceAll('-', '_');
}
