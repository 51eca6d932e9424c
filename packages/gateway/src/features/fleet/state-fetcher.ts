/** Fetches state that this instance lacks from others. Only one instance of each availability zone fetches it from another zone. */
import type {FleetMember} from '@cairnbank/core/fleet';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {SharedState, StateQuery} from '../state/shared-state.js';
import type {StateAnswer} from './state-exchange.js';

/**
 * Time that an instance waits before it fetches newer state from another availability zone, as it may get it within its own zone. A fetch takes
 * a few round trips of some milliseconds; a configuration has to be in force within seconds.
 */
const ownZoneWaitMs = 150;
/** Two, so that a host that doesn't answer doesn't block fetches from others. */
const maximumConcurrentFetches = 2;
/** Maximum number of referrals from busy instances that are followed; after them the next heartbeat starts a new fetch. */
const maximumReferrals = 3;

export type StateFetcherOptions = {
	readonly context: Pick<Context, 'logger' | 'random' | 'settings'>;
	/** Returns a query for the state that the other instance has and this one lacks. */
	readonly compare: (member: FleetMember) => StateQuery | undefined;
	/** Whether it is this instance's turn to fetch from other availability zones. */
	readonly isFirstOfZone: () => boolean;
	readonly fetch: (host: string, query: StateQuery) => Promise<Result<StateAnswer, string>>;
	readonly adopt: (state: SharedState) => void;
};

export class StateFetcher {
	readonly #options: StateFetcherOptions;
	/** Hosts from which state is being fetched. */
	readonly #pendingHosts = new Set<string>();
	/** Timers that wait for the own zone, by the host in another zone. */
	readonly #zoneWaits = new Map<string, NodeJS.Timeout>();

	constructor(options: StateFetcherOptions) {
		this.#options = options;
	}

	/** Starts a fetch if another instance reports newer state. */
	receiveHeartbeat(member: FleetMember): void {
		const query = this.#options.compare(member);
		if (query === undefined || this.#pendingHosts.has(member.host) || this.#pendingHosts.size >= maximumConcurrentFetches) {
			return;
		}

		const {context: {settings}, isFirstOfZone} = this.#options;
		const isInOwnZone = member.availabilityZone === settings.availabilityZone;
		const hasNoConfiguration = query.configurationVersion === 0;
		if (isInOwnZone || hasNoConfiguration || isFirstOfZone()) {
			void this.#fetchAndAdopt(member.host, query);
		} else if (!this.#zoneWaits.has(member.host)) {
			this.#zoneWaits.set(member.host, setTimeout(() => {
				this.#zoneWaits.delete(member.host);
				const missing = this.#options.compare(member);
				if (missing !== undefined && this.#pendingHosts.size < maximumConcurrentFetches) {
					void this.#fetchAndAdopt(member.host, missing);
				}
			}, ownZoneWaitMs));
		}
	}

	stop(): void {
		for (const timer of this.#zoneWaits.values()) {
			clearTimeout(timer);
		}
	}

	async #fetchAndAdopt(host: string, query: StateQuery): Promise<void> {
		this.#pendingHosts.add(host);
		const state = await this.#fetch(host, query, 0);
		this.#pendingHosts.delete(host);
		if (state !== undefined) {
			this.#options.adopt(state);
		}
	}

	async #fetch(host: string, query: StateQuery, referrals: number): Promise<SharedState | undefined> {
		const {context: {logger, random, settings}, fetch} = this.#options;
		const answer = await fetch(host, query);
		if (answer.isErr()) {
			logger.warn('cannot fetch state from instance', {host, message: answer.error});
			return undefined;
		}

		switch (answer.value.type) {
			case 'state': {
				return answer.value.state;
			}

			case 'busy': {
				const others = answer.value.hosts.filter(other => other !== settings.host);
				const next = others[random.nextInteger(Math.max(1, others.length))];
				return next === undefined || referrals >= maximumReferrals ? undefined : this.#fetch(next, query, referrals + 1);
			}
		}
	}
}
