/** Asks other instances for state that this one lacks; each availability zone fetches it from another one once. */
import type {FleetMember} from '@cairnbank/core/fleet';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {SharedState, StateQuery} from '../state/shared-state.js';
import type {StateAnswer} from './state-exchange.js';

/**
 * How long an instance waits for one of its own availability zone to have what one of another zone knows. A fetch
 * takes a few round trips of some milliseconds; the bound for putting a configuration in force is seconds.
 */
const ownZoneWaitMs = 150;
/** One more than one, so that a host that doesn't answer holds nothing up. */
const maximumAsked = 2;
/** Busy instances that send an instance on to another one before it waits for the next heartbeat. */
const maximumReferrals = 3;

export type StateAskerOptions = {
	readonly context: Pick<Context, 'logger' | 'random' | 'settings'>;
	/** What this instance lacks and the other one has. */
	readonly compare: (member: FleetMember) => StateQuery | undefined;
	/** Whether it is this instance's turn to fetch from other availability zones. */
	readonly isFirstOfZone: () => boolean;
	readonly fetch: (host: string, query: StateQuery) => Promise<Result<StateAnswer, string>>;
	readonly adopt: (state: SharedState) => void;
};

export class StateAsker {
	readonly #options: StateAskerOptions;
	/** Hosts that are being asked. */
	readonly #asked = new Set<string>();
	/** Waits for the own zone, by the host in another one. */
	readonly #waits = new Map<string, NodeJS.Timeout>();

	constructor(options: StateAskerOptions) {
		this.#options = options;
	}

	/** Another instance has told what it knows. */
	heard(member: FleetMember): void {
		const query = this.#options.compare(member);
		if (query === undefined || this.#asked.has(member.host) || this.#asked.size >= maximumAsked) {
			return;
		}

		const {context: {settings}, isFirstOfZone} = this.#options;
		const isNear = member.availabilityZone === settings.availabilityZone;
		const knowsNothing = query.configurationVersion === 0;
		if (isNear || knowsNothing || isFirstOfZone()) {
			void this.#ask(member.host, query);
		} else if (!this.#waits.has(member.host)) {
			this.#waits.set(member.host, setTimeout(() => {
				this.#waits.delete(member.host);
				const missing = this.#options.compare(member);
				if (missing !== undefined && this.#asked.size < maximumAsked) {
					void this.#ask(member.host, missing);
				}
			}, ownZoneWaitMs));
		}
	}

	stop(): void {
		for (const wait of this.#waits.values()) {
			clearTimeout(wait);
		}
	}

	async #ask(host: string, query: StateQuery): Promise<void> {
		this.#asked.add(host);
		const state = await this.#fetch(host, query, 0);
		this.#asked.delete(host);
		if (state !== undefined) {
			this.#options.adopt(state);
		}
	}

	async #fetch(host: string, query: StateQuery, referrals: number): Promise<SharedState | undefined> {
		const {context: {logger, random, settings}, fetch} = this.#options;
		const answer = await fetch(host, query);
		if (answer.isErr()) {
			logger.warn('instance did not hand over its state', {host, message: answer.error});
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
