/** Requests of this instance that wait for tokens: one question at a time for each account covers all of them. */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {ClientAccountId} from '../model/ids.js';
import type {LimitAnswer} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';

export type Admittance =
	| {readonly type: 'granted'}
	/** The account is over its limit. */
	| {readonly type: 'limited'; readonly retryAfterMs: number}
	/** No instance that knows the use of the account was reached. Other instances may know it. */
	| {readonly type: 'unknown'; readonly retryAfterMs: number};

/** Interval and number of further questions while no instance can decide, as in the moment when a whole fleet starts. */
const unansweredIntervalMs = 100;
const maximumUnanswered = 4;
const unknownRetryMs = 300;
/** Time for which a refusal is remembered at most: a limit may be raised, or its owner may change. */
const maximumDenialMs = 500;
/** Part of the delay by which callers are spread. */
const spreadRatio = 0.5;

type Waiting = {
	limit: AccountRateLimit;
	readonly requests: Array<(admittance: Admittance) => void>;
	isAsking: boolean;
	/** No token is there before this time. */
	deniedUntilMs: number;
	refusal: Exclude<Admittance, {type: 'granted'}>;
};

type Ask = (account: ClientAccountId, count: number, done: (answer: LimitAnswer | undefined) => void) => void;

export class WaitingRequests {
	readonly #environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'random' | 'schedule'>;
	readonly #ask: Ask;
	readonly #accounts = new Map<ClientAccountId, Waiting>();

	constructor(environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'random' | 'schedule'>, ask: Ask) {
		this.#environment = environment;
		this.#ask = ask;
	}

	add(account: ClientAccountId, limit: AccountRateLimit, done: (admittance: Admittance) => void): void {
		const waiting = this.#waiting(account, limit);
		if (waiting.limit.requestsPerSecond !== limit.requestsPerSecond || waiting.limit.burst !== limit.burst) {
			waiting.limit = limit;
			waiting.deniedUntilMs = 0;
		}

		if (this.#environment.clock.monotonicMs() < waiting.deniedUntilMs) {
			done(this.#spread(waiting.refusal));
			return;
		}

		waiting.requests.push(done);
		if (!waiting.isAsking) {
			this.#askForAll(account, waiting, 0);
		}
	}

	retain(isLimited: (account: ClientAccountId) => boolean): void {
		for (const [account, {isAsking}] of this.#accounts) {
			if (!isAsking && !isLimited(account)) {
				this.#accounts.delete(account);
			}
		}
	}

	#waiting(account: ClientAccountId, limit: AccountRateLimit): Waiting {
		const waiting = this.#accounts.get(account) ?? {
			limit, requests: [], isAsking: false, deniedUntilMs: 0, refusal: {type: 'unknown', retryAfterMs: unknownRetryMs},
		};
		this.#accounts.set(account, waiting);
		return waiting;
	}

	#askForAll(account: ClientAccountId, waiting: Waiting, unanswered: number): void {
		waiting.isAsking = true;
		const count = waiting.requests.length;
		this.#ask(account, count, answer => {
			if (answer === undefined && unanswered < maximumUnanswered && !this.#environment.fleet().isAlone) {
				this.#environment.schedule(unansweredIntervalMs, () => {
					this.#askForAll(account, waiting, unanswered + 1);
				});
				return;
			}

			waiting.isAsking = false;
			this.#finish(waiting, waiting.requests.splice(0, count), answer);
			this.#refuseWhileDenied(waiting);
			if (waiting.requests.length > 0 && !waiting.isAsking) {
				this.#askForAll(account, waiting, 0);
			}
		});
	}

	#finish(waiting: Waiting, requests: ReadonlyArray<(admittance: Admittance) => void>, answer: LimitAnswer | undefined): void {
		const granted = answer?.granted ?? 0;
		if (granted < requests.length) {
			const nowMs = this.#environment.clock.monotonicMs();
			waiting.deniedUntilMs = nowMs + Math.min(answer?.tokenInMs ?? 0, maximumDenialMs);
			waiting.refusal = {type: answer?.isCertain === true ? 'limited' : 'unknown', retryAfterMs: answer?.retryAfterMs ?? unknownRetryMs};
		}

		for (const [index, done] of requests.entries()) {
			done(index < granted ? {type: 'granted'} : this.#spread(waiting.refusal));
		}
	}

	/** Refuses the requests that have come while the question was under way. */
	#refuseWhileDenied(waiting: Waiting): void {
		if (this.#environment.clock.monotonicMs() < waiting.deniedUntilMs) {
			for (const done of waiting.requests.splice(0)) {
				done(this.#spread(waiting.refusal));
			}
		}
	}

	/** Spreads the callers of an account, so that they don't all return at once. */
	#spread({type, retryAfterMs}: Waiting['refusal']): Admittance {
		return {type, retryAfterMs: Math.round(retryAfterMs * (1 + (this.#environment.random.next() * spreadRatio)))};
	}
}
