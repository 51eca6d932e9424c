/**
 * Keeps the requests of accounts within the limits that hold for all instances together. Each account is decided on by one
 * instance, its owner: the first in the order of the account that answers. The others ask it for tokens, with one question at
 * a time for all requests that wait. A question reaches the owner also by an instance whose view differs, as each passes it on
 * to those that come before it, and through a third instance where the link to the owner is cut. So two instances decide at the
 * same time only while neither reaches the other in any way.
 */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {ClientAccountId} from '../model/ids.js';
import {AccountOrders} from './account-orders.js';
import {AccountOwner} from './account-owner.js';
import type {LimitAnswer, LimitMessage, RelayableMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import {MessageCalls, type CallTiming} from './message-calls.js';
import {MessagePaths} from './message-paths.js';
import {ownerOrder} from './owner-order.js';
import {OwnerSearch} from './owner-search.js';
import {ReceivedAsks} from './received-asks.js';
import {RelaySearch} from './relay-search.js';
import {SilentHosts} from './silent-hosts.js';
import {WaitingRequests, type Admittance} from './waiting-requests.js';

/** Timing of questions for requests of this instance to the first instance in the order. */
const ownTiming: CallTiming = {intervalMs: 80, attempts: 2, searchAfterMs: 100};
/** Of questions that are passed on: an instance that takes over because of lost datagrams would exceed the limit. */
const passedOnTiming: CallTiming = {intervalMs: 50, attempts: 4, searchAfterMs: 80};
/** Of the tokens that an instance hands over as it leaves. */
const handOverTiming: CallTiming = {intervalMs: 40, attempts: 2, searchAfterMs: 40};
/** Of checks whether the direct path to an instance is restored. */
const directCheckTiming: CallTiming = {intervalMs: 100, attempts: 1, isDirect: true};

type OnAnswer = (answer: LimitAnswer | undefined) => void;

export class AccountLimiter {
	readonly #environment: LimiterEnvironment;
	readonly #paths: MessagePaths;
	readonly #calls: MessageCalls;
	readonly #relaySearch: RelaySearch;
	readonly #owner: AccountOwner;
	readonly #ownerSearch: OwnerSearch;
	readonly #silent: SilentHosts;
	readonly #received: ReceivedAsks;
	readonly #waiting: WaitingRequests;
	readonly #orders: AccountOrders;
	/** Instance that granted the latest tokens of an account. */
	readonly #grantedBy = new Map<ClientAccountId, string>();

	constructor(environment: LimiterEnvironment) {
		this.#environment = environment;
		this.#orders = new AccountOrders(environment);
		this.#paths = new MessagePaths(environment);
		this.#calls = new MessageCalls(environment, {
			paths: this.#paths,
			findRelay: (host, done) => {
				this.#relaySearch.begin(host, done);
			},
		});
		this.#silent = new SilentHosts(environment, this.#calls);
		this.#relaySearch = new RelaySearch(environment, this.#calls, this.#paths, host => this.#silent.isSilent(host));
		this.#owner = new AccountOwner(environment, this.#calls, this.#silent);
		this.#ownerSearch = new OwnerSearch(this.#calls, this.#silent);
		this.#received = new ReceivedAsks(environment.clock);
		this.#waiting = new WaitingRequests(environment, (account, count, done) => {
			this.#obtain(account, count, ownTiming, done);
		});
	}

	/** Asks whether a request of an account may run now. `done` is called once, often before this returns. */
	admit(account: ClientAccountId, limit: AccountRateLimit, done: (admittance: Admittance) => void): void {
		this.#waiting.add(account, limit, done);
	}

	/** Returns the tokens of requests that did not run. */
	giveBack(account: ClientAccountId, count: number): void {
		const host = this.#grantedBy.get(account);
		if (host === this.#environment.host) {
			this.#owner.giveBack(account, count);
		} else if (host !== undefined) {
			this.#paths.send({type: 'limit-return', account, count}, host);
		}
	}

	/** Called every 100 ms or so, so that a pause of this process is noticed. */
	tick(): void {
		this.#owner.tick();
		this.#silent.sweep(this.#orders.heads(host => this.#silent.isSilent(host)));
		this.#relaySearch.sweep();
		for (const host of this.#paths.takeDueChecks()) {
			this.#calls.call(host, sequence => ({type: 'limit-check', sequence}), directCheckTiming, reply => {
				if (reply !== undefined) {
					this.#paths.useDirectPath(host);
				}
			});
		}
	}

	/** Hands over the accounts on which this instance decides, as it leaves. Called when `fleet` no longer counts it as known. */
	leave(): void {
		for (const [account, level] of this.#owner.releaseAll()) {
			const successor = this.#orders.of(account).behind.find(host => !this.#silent.isSilent(host));
			if (successor !== undefined) {
				this.#calls.call(successor, sequence => ({
					type: 'limit-hand-over', account, sequence, level,
				}), handOverTiming, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
			}
		}
	}

	/** Forgets accounts that the configuration in force no longer limits. */
	applyConfiguration(): void {
		const isLimited = (account: ClientAccountId) => this.#environment.limitOf(account) !== undefined;
		this.#owner.retain(isLimited);
		this.#waiting.retain(isLimited);
		this.#orders.retain(isLimited);
		for (const account of [...this.#grantedBy.keys()].filter(account => !isLimited(account))) {
			this.#grantedBy.delete(account);
		}
	}

	/** Handles a message of another instance. */
	receive(message: LimitMessage, from: string): void {
		this.#silent.heardFrom(from);
		const {fleet, send} = this.#environment;
		switch (message.type) {
			case 'limit-probe': {
				this.#relaySearch.check(message.hosts, reached => {
					send({type: 'limit-probed', sequence: message.sequence, reached}, from);
				});
				return;
			}

			case 'limit-probed': {
				this.#calls.settle(message.sequence, from, message);
				return;
			}

			case 'limit-relay': {
				const {others, suspected} = fleet();
				if (others.includes(message.to) || suspected.includes(message.to)) {
					send({type: 'limit-relayed', origin: from, message: message.message}, message.to);
				}

				return;
			}

			case 'limit-relayed': {
				this.#silent.heardFrom(message.origin);
				this.#handle(message.message, message.origin, from);
				return;
			}

			case 'limit-ask':
			case 'limit-answer':
			case 'limit-working':
			case 'limit-take-over':
			case 'limit-level':
			case 'limit-hand-over':
			case 'limit-check':
			case 'limit-checked':
			case 'limit-return': {
				this.#handle(message, from, undefined);
			}
		}
	}

	/** @param via - instance that has relayed the message, as the answer takes the same way; undefined if it came directly */
	#handle(message: RelayableMessage, from: string, via: string | undefined): void {
		const reply = (answer: RelayableMessage) => {
			this.#paths.sendVia(answer, from, via);
		};

		switch (message.type) {
			case 'limit-ask': {
				this.#handleAsk(message, from, reply);
				return;
			}

			case 'limit-take-over': {
				const {account, sequence} = message;
				const level = this.#comesBefore(from, account) ? this.#owner.release(account) : undefined;
				reply({type: 'limit-level', sequence, level});
				return;
			}

			case 'limit-hand-over': {
				this.#owner.handedOver.record(message.account, message.level);
				reply({type: 'limit-checked', sequence: message.sequence});
				return;
			}

			case 'limit-check': {
				reply({type: 'limit-checked', sequence: message.sequence});
				return;
			}

			case 'limit-return': {
				this.#owner.giveBack(message.account, message.count);
				return;
			}

			case 'limit-working': {
				this.#calls.prolong(message.sequence, from);
				return;
			}

			case 'limit-answer':
			case 'limit-level':
			case 'limit-checked': {
				this.#calls.settle(message.sequence, from, message);
			}
		}
	}

	#handleAsk({account, sequence, count}: Extract<LimitMessage, {type: 'limit-ask'}>, from: string, reply: (answer: RelayableMessage) => void): void {
		const {fleet, limitOf} = this.#environment;
		const answerWith: OnAnswer = answer => {
			this.#received.recordAnswer(from, sequence, answer);
			reply({type: 'limit-answer', sequence, answer});
		};

		const earlier = this.#received.record(from, sequence);
		if (earlier !== undefined) {
			if (earlier.reply === undefined) {
				reply({type: 'limit-working', sequence});
			} else {
				answerWith(earlier.reply.answer);
			}
		} else if (fleet().isKnown && limitOf(account) !== undefined) {
			this.#obtain(account, count, passedOnTiming, answerWith);
		} else {
			answerWith(undefined);
		}
	}

	/** Gets tokens from the first instance in the order that answers, or from this one if none before it does. */
	#obtain(account: ClientAccountId, count: number, timing: CallTiming, done: OnAnswer): void {
		const {ahead, behind} = this.#orders.of(account);
		const {isKnown} = this.#environment.fleet();
		const candidates = isKnown ? ahead : [...ahead, ...behind];
		this.#ownerSearch.ask({
			account, count, candidates, timing,
		}, found => {
			if (found !== undefined) {
				this.#grantedBy.set(account, found.host);
				// The one that answered decides now; what this instance may have kept of the account is out of date.
				this.#owner.release(account);
				done(found.answer);
				return;
			}

			if (!isKnown) {
				done(undefined);
				return;
			}

			this.#grantedBy.set(account, this.#environment.host);
			this.#owner.decide(account, count, {hasSilentAhead: ahead.length > 0, behind}, done);
		});
	}

	#comesBefore(other: string, account: ClientAccountId): boolean {
		return ownerOrder(account, [other, this.#environment.host])[0] === other;
	}
}
