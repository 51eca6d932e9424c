/** Authenticates callers where the configuration contains client accounts, and checks requests again that have waited. */
import {
	authenticate, recheck, type ClientAccount, type KeyDigest, type RecheckResult,
} from '@cairnbank/core/accounts';
import type {Route, RouteTable} from '@cairnbank/core/routes';
import {err, ok, type Result} from 'neverthrow';
import type {Metrics} from '../../metrics/metrics.js';
import type {Call} from './call.js';
import type {Outcome} from './outcome.js';

/**
 * Age of the configuration from which an unknown key may be newer than it. Instances that hear of others or reach the store
 * have a younger one all the time.
 */
const maximumConfirmedAgeMs = 3000;
/** Retry delay for the caller of an instance that can't know its key yet; another instance mostly does. */
const unconfirmedRetryAfterMs = 200;
/** Retry delay for a request without an account that waited while accounts were introduced. */
const introducedRetryAfterMs = 20;

export type Caller = {readonly account: ClientAccount | undefined; readonly accountKey: KeyDigest | undefined};

export type AuthenticatorOptions = {
	readonly metrics: Pick<Metrics, 'authentications'>;
	readonly routes: () => RouteTable | undefined;
	/** Time since the store last confirmed the configuration, directly or through other instances. */
	readonly configurationAgeMs: () => number;
};

export class Authenticator {
	readonly #options: AuthenticatorOptions;

	constructor(options: AuthenticatorOptions) {
		this.#options = options;
	}

	/**
	 * @param credentials - the values of all credentials headers of the request
	 * @param routes - the configuration to which the route belongs
	 * @returns the caller, or the outcome of a request that proves no account
	 */
	authenticate(credentials: readonly string[], route: Route, {accounts}: RouteTable): Result<Caller, Outcome> {
		if (accounts === undefined) {
			return ok({account: undefined, accountKey: undefined});
		}

		if (route.isPublic) {
			this.#count('public');
			return ok({account: undefined, accountKey: undefined});
		}

		const authentication = authenticate(credentials, accounts);
		if (authentication.type === 'authenticated') {
			this.#count('authenticated');
			return ok({account: authentication.account, accountKey: authentication.key});
		}

		const {reason} = authentication;
		if (reason === 'unknown-key' && this.#options.configurationAgeMs() > maximumConfirmedAgeMs) {
			this.#count('unconfirmed-key');
			return err({type: 'not-run', reason: 'unconfirmed-key', retryAfterMs: unconfirmedRetryAfterMs});
		}

		this.#count(reason);
		return err({type: 'unauthenticated', reason});
	}

	/** @returns the outcome of a request that must not be sent any more; undefined if it may be */
	recheck({account, accountKey, route}: Call): Extract<Outcome, {readonly type: 'not-run' | 'unauthenticated'}> | undefined {
		const result: RecheckResult = recheck({account, accountKey, isPublic: route.isPublic ?? false}, this.#options.routes()?.accounts);
		switch (result) {
			case 'valid': {
				return undefined;
			}

			case 'key-removed': {
				this.#count(result);
				return {type: 'unauthenticated', reason: result};
			}

			case 'accounts-introduced': {
				this.#count(result);
				return {type: 'not-run', reason: result, retryAfterMs: introducedRetryAfterMs};
			}
		}
	}

	#count(result: string): void {
		this.#options.metrics.authentications.inc({result});
	}
}
