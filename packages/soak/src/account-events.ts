/** Plays the events of client accounts and records what their callers observe. */
import {runAccountCaller} from './account-caller.js';
import {runFloodingCaller} from './flooding-caller.js';
import type {AccountCalls, FloodCalls} from './history.js';
import type {SoakEvent} from './schedule.js';
import type {SoakSite} from './soak-site.js';

const types = ['remove-key', 'flood-account', 'lower-limit'] as const;
const typeSet: ReadonlySet<string> = new Set(types);

export type AccountEvent = Extract<SoakEvent, {readonly type: typeof types[number]}>;

export function isAccountEvent(event: SoakEvent): event is AccountEvent {
	return typeSet.has(event.type);
}

export class AccountEvents {
	readonly accounts: AccountCalls[] = [];
	readonly floods: FloodCalls[] = [];
	/** Infinity if it was not lowered. */
	limitLoweredAtMs = Number.POSITIVE_INFINITY;
	readonly #site: SoakSite;

	constructor(site: SoakSite) {
		this.#site = site;
	}

	/** Resolves once the event is over. */
	async inject(event: AccountEvent): Promise<void> {
		switch (event.type) {
			case 'remove-key': {
				this.accounts.push(await runAccountCaller(this.#site, `account-${this.accounts.length}`, event.forMs));
				return;
			}

			case 'flood-account': {
				this.floods.push(await runFloodingCaller(this.#site, `flood-${this.floods.length}`, event.forMs));
				return;
			}

			case 'lower-limit': {
				this.#site.lowerLimit();
				this.limitLoweredAtMs = performance.now();
			}
		}
	}
}
