/**
 * Keeps the requests of accounts within the limits that hold for all instances together. Each account is decided on by one
 * instance, its owner: the first in the order of the account that answers. The others ask it for tokens, with one question at
 * a time for all requests that wait. A question reaches the owner also by an instance whose view differs, as each passes it on
 * to those that come before it; so two instances decide at the same time only while they can't reach each other.
 */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {ClientAccountId} from '../model/ids.js';
import {AccountOrders} from './account-orders.js';
import {AccountOwner} from './account-owner.js';
import type {LimitAnswer, LimitMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import {MessageCalls, type CallTiming} from './message-calls.js';
import {ownerOrder} from './owner-order.js';
import {ReceivedAsks} from './received-asks.js';
import {SilentHosts} from './silent-hosts.js';
import {WaitingRequests, type Admittance} from './waiting-requests.js';

/** Timing of questions for requests of this instance to the first instance in the order. */
const ownTiming: CallTiming = {intervalMs: 80, attempts: 2};
/** To the ones after it, which may have to find out first whether the first one has ended. */
const furtherTiming: CallTiming = {intervalMs: 250, attempts: 2};
/** Of questions that are passed on: an instance that takes over because of lost datagrams would exceed the limit. */
const passedOnTiming: CallTiming = {intervalMs: 50, attempts: 4};
/** Of checks whether an instance answers. */
const checkTiming: CallTiming = {intervalMs: 40, attempts: 2};
/** Time for which an instance that can't decide yet isn't asked again. */
const unreadyMs = 300;
/** Instances that are checked at a time once the first in the order doesn't answer: in a division many of the next ones don't. */
const checkedAtOnce = 8;

type OnAnswer = (answer: LimitAnswer | undefined) => void;

export class AccountLimiter {
	readonly #environment: LimiterEnvironment;
	readonly #calls: MessageCalls;
	readonly #owner: AccountOwner;
	readonly #silent: SilentHosts;
	readonly #received: ReceivedAsks;
	readonly #waiting: WaitingRequests;
	readonly #orders: AccountOrders;
	/** Instance that granted the latest tokens of an account. */
	readonly #grantedBy = new Map<ClientAccountId, string>();

	constructor(environment: LimiterEnvironment) {
		this.#environment = environment;
		this.#orders = new AccountOrders(environment);
		this.#calls = new MessageCalls(environment);
		this.#silent = new SilentHosts(environment, this.#calls);
		this.#owner = new AccountOwner(environment, this.#calls, host => this.#silent.isSilent(host));
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
			this.#environment.send({type: 'limit-return', account, count}, host);
		}
	}

	/** Called every 100 ms or so, so that a pause of this process is noticed. */
	tick(): void {
		this.#owner.tick();
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
		const {send} = this.#environment;
		switch (message.type) {
			case 'limit-ask': {
				this.#receiveAsk(message, from);
				return;
			}

			case 'limit-take-over': {
				const {account, sequence} = message;
				const level = this.#comesBefore(from, account) ? this.#owner.release(account) : undefined;
				send({type: 'limit-level', sequence, level}, from);
				return;
			}

			case 'limit-check': {
				send({type: 'limit-checked', sequence: message.sequence}, from);
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

	#receiveAsk({account, sequence, count}: Extract<LimitMessage, {type: 'limit-ask'}>, from: string): void {
		const {fleet, send, limitOf} = this.#environment;
		const answerWith: OnAnswer = answer => {
			this.#received.recordAnswer(from, sequence, answer);
			send({type: 'limit-answer', sequence, answer}, from);
		};

		const earlier = this.#received.record(from, sequence);
		if (earlier !== undefined) {
			if (earlier.reply === undefined) {
				send({type: 'limit-working', sequence}, from);
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
		const question = {
			account, count, candidates, timing,
		};
		this.#tryFirst(question, answer => {
			if (answer !== undefined || !isKnown) {
				done(answer);
				return;
			}

			this.#grantedBy.set(account, this.#environment.host);
			this.#owner.decide(account, count, {hasSilentAhead: ahead.length > 0, behind}, done);
		});
	}

	/** Asks the first candidate that isn't known to be silent, and the next ones if it doesn't answer. */
	#tryFirst(question: Question, done: OnAnswer): void {
		const {account, count, candidates} = question;
		const host = candidates.find(candidate => !this.#silent.has(candidate));
		if (host === undefined) {
			done(undefined);
			return;
		}

		this.#calls.call(host, sequence => ({
			type: 'limit-ask', account, sequence, count,
		}), question.timing, reply => {
			if (reply?.type === 'limit-answer' && reply.answer !== undefined) {
				this.#grantedBy.set(account, host);
				// The one that answered decides now; what this instance may have kept of the account is out of date.
				this.#owner.release(account);
				done(reply.answer);
				return;
			}

			const next = {...question, candidates: candidates.slice(candidates.indexOf(host) + 1), timing: furtherTiming};
			if (reply === undefined) {
				this.#silent.markSilent(host);
				this.#checkFirst(next, done);
			} else {
				this.#silent.markUnready(host, unreadyMs);
				this.#tryFirst(next, done);
			}
		});
	}

	/** Finds out which of the first candidates answer before it asks one of them. */
	#checkFirst(question: Question, done: OnAnswer): void {
		const checked = question.candidates.filter(host => !this.#silent.has(host)).slice(0, checkedAtOnce);
		if (checked.length === 0) {
			this.#tryFirst(question, done);
			return;
		}

		this.#calls.callAll(checked, sequence => ({type: 'limit-check', sequence}), checkTiming, replies => {
			const silent = checked.filter((_host, index) => replies[index] === undefined);
			for (const host of silent) {
				this.#silent.markSilent(host);
			}

			if (silent.length < checked.length) {
				this.#tryFirst(question, done);
			} else {
				this.#checkFirst(question, done);
			}
		});
	}

	#comesBefore(other: string, account: ClientAccountId): boolean {
		return ownerOrder(account, [other, this.#environment.host])[0] === other;
	}
}

type Question = {
	readonly account: ClientAccountId;
	readonly count: number;
	readonly candidates: readonly string[];
	readonly timing: CallTiming;
};
