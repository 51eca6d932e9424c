/** Keeps requests of accounts within the limits that hold for all instances together. */
import type {ClientAccountId} from '@cairnbank/core';
import type {AccountRateLimit, ClientAccount} from '@cairnbank/core/accounts';
import {
	AccountLimiter, ScarceTokens, type Admittance, type LimiterFleet, type LimitMessage,
} from '@cairnbank/core/account-limits';
import {WaitedTimes} from '@cairnbank/core/overload';
import type {Route, RouteTable} from '@cairnbank/core/routes';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {Call} from '../calls/call.js';
import type {Outcome} from '../calls/outcome.js';
import {LimitedAccounts} from './limited-accounts.js';

const tickMs = 100;
const millisecondsPerSecond = 1000;
/** A token that was granted longer ago isn't returned: together with those added since, it would exceed the burst. */
const maximumReturnAgeMs = 300;
/** Longest wait for the instance that decides on an account. Another one is found within it if the first has ended. */
const maximumAskMs = 1000;
/** Retry delay for the caller of an instance that finds no decision; another instance may. */
const unknownRetryAfterMs = 20;
/** A caller waits for at most this part of the time that it has left. */
const maximumWaitRatio = 1 / 3;

export type AccountLimitsOptions = {
	readonly context: Context;
	readonly fleet: () => LimiterFleet;
	readonly send: (message: LimitMessage, host: string) => void;
	/** Work of a request of a route at an upstream of usual speed. */
	readonly workMs: (route: Route) => number;
};

/** The fields of a call that decide on its tokens. */
type LimitedCall = Pick<Call, 'account' | 'deadlineAtMs' | 'receivedAtMs' | 'route'>;

type RefusedAdmittance = Exclude<Admittance, {readonly type: 'granted'}>;

/** Sends a caller that yields to others away for as long as is of use to it. */
const yieldingAdmittance: RefusedAdmittance = {type: 'limited', retryAfterMs: Number.POSITIVE_INFINITY};

export type RefusedOutcome = Extract<Outcome, {type: 'limited' | 'not-run'}>;

/** Result of the admission of a call. */
export type CallAdmittance =
	| {readonly type: 'unlimited'}
	| {readonly type: 'granted'; readonly account: ClientAccountId; readonly atMs: number}
	| {readonly type: 'refused'; readonly outcome: RefusedOutcome};

export class AccountLimitsTask implements Task {
	readonly name = 'account-limits';
	readonly #options: AccountLimitsOptions;
	readonly #limiter: AccountLimiter;
	readonly #reports: LimitedAccounts;
	readonly #scarceTokens: ScarceTokens;
	readonly #waitedTimes = new WaitedTimes();
	#limits: ReadonlyMap<ClientAccountId, AccountRateLimit> = new Map();
	#timer: NodeJS.Timeout | undefined;
	#isRunning = false;

	constructor(options: AccountLimitsOptions) {
		const {context, fleet, send} = options;
		this.#options = options;
		this.#reports = new LimitedAccounts(context);
		this.#scarceTokens = new ScarceTokens(context.clock);
		this.#limiter = new AccountLimiter({
			clock: context.clock,
			random: context.random,
			host: context.settings.host,
			bound() {
				const {windowSeconds, excessRatio, slackRequests} = context.settings.accountLimits;
				return {windowMs: windowSeconds * millisecondsPerSecond, excessRatio, slackRequests};
			},
			fleet,
			limitOf: account => this.#limits.get(account),
			send,
			schedule(delayMs, action) {
				const timer = setTimeout(action, delayMs);
				return () => {
					clearTimeout(timer);
				};
			},
		});
	}

	async start(): Promise<Result<void, StartError>> {
		this.#isRunning = true;
		this.#updateTimer();
		return ok(undefined);
	}

	leave(): void {
		this.#limiter.leave();
	}

	stop(): void {
		this.#isRunning = false;
		this.#updateTimer();
	}

	/** Applies the limits of a configuration that has come into force. */
	applyConfiguration({configuration: {accounts = []}}: RouteTable): void {
		this.#limits = new Map(accounts.flatMap(({id, rateLimit}) => rateLimit === undefined ? [] : [[id, rateLimit]]));
		this.#limiter.applyConfiguration();
		this.#scarceTokens.retain(account => this.#limits.has(account));
		this.#reports.applyAccounts(accounts);
		this.#updateTimer();
	}

	/** Decides whether a call may run now, within a bounded time and before its deadline; one without a limited account always may. */
	async admit(call: LimitedCall): Promise<CallAdmittance> {
		const {account} = call;
		if (account?.rateLimit === undefined) {
			return {type: 'unlimited'};
		}

		const admittance = this.#mustYield(account, call) ? yieldingAdmittance : await this.#ask(account, account.rateLimit, call.deadlineAtMs);
		this.#reports.record(account, admittance);
		if (admittance.type === 'granted') {
			return {type: 'granted', account: account.id, atMs: this.#options.context.clock.monotonicMs()};
		}

		return {type: 'refused', outcome: this.#refuse(call, admittance)};
	}

	/**
	 * Returns the token of a call that did not run.
	 *
	 * @param isSent - whether an attempt was sent to an upstream
	 */
	complete(admittance: CallAdmittance, outcome: Outcome, isSent: boolean): void {
		const {clock} = this.#options.context;
		if (admittance.type === 'granted' && hasNotRun(outcome, isSent) && clock.monotonicMs() - admittance.atMs <= maximumReturnAgeMs) {
			this.#giveBack(admittance.account);
		}
	}

	/** Handles a message of another instance. */
	receive(message: LimitMessage, from: string): void {
		this.#limiter.receive(message, from);
	}

	async #ask({id}: ClientAccount, limit: AccountRateLimit, deadlineAtMs: number): Promise<Admittance> {
		const admittance = await new Promise<Admittance>(resolve => {
			let timer: NodeJS.Timeout | undefined;
			let isDecided = false;
			let isLate = false;
			this.#limiter.admit(id, limit, admittance => {
				isDecided = true;
				clearTimeout(timer);
				if (isLate && admittance.type === 'granted') {
					this.#giveBack(id);
				}

				resolve(admittance);
			});
			if (!isDecided) {
				timer = setTimeout(() => {
					isLate = true;
					resolve({type: 'unknown', retryAfterMs: unknownRetryAfterMs});
				}, Math.max(0, Math.min(maximumAskMs, deadlineAtMs - this.#options.context.clock.monotonicMs())));
			}
		});
		if (admittance.type === 'limited') {
			this.#scarceTokens.recordRefusal(id);
		}

		return admittance;
	}

	/** Whether a call leaves the tokens to others of its account that can still be answered in time. */
	#mustYield({id}: ClientAccount, call: LimitedCall): boolean {
		const {route, receivedAtMs, deadlineAtMs} = call;
		this.#waitedTimes.recordArrival(call, this.#scarceTokens.isScarce(id));
		return this.#scarceTokens.mustYield(id, {
			askedAtMs: receivedAtMs - this.#waitedTimes.waitedMs(call),
			deadlineAtMs,
			targetLatencyMs: route.targetLatencyMs,
			workMs: this.#options.workMs(route),
		});
	}

	#refuse({deadlineAtMs}: LimitedCall, {type, retryAfterMs: tokenInMs}: RefusedAdmittance): RefusedOutcome {
		const usefulMs = Math.max(0, (deadlineAtMs - this.#options.context.clock.monotonicMs()) * maximumWaitRatio);
		const retryAfterMs = Math.ceil(Math.min(tokenInMs, usefulMs));
		switch (type) {
			case 'limited': {
				return {type: 'limited', retryAfterMs};
			}

			case 'unknown': {
				return {type: 'not-run', reason: 'account-use-unknown', retryAfterMs};
			}
		}
	}

	#giveBack(account: ClientAccountId): void {
		this.#limiter.giveBack(account, 1);
		this.#reports.recordGivenBack(account);
	}

	/** Nothing runs where no account is limited. */
	#updateTimer(): void {
		clearInterval(this.#timer);
		this.#timer = this.#isRunning && this.#limits.size > 0
			? setInterval(() => {
				this.#limiter.tick();
				this.#reports.sweep();
			}, tickMs)
			: undefined;
	}
}

function hasNotRun({type}: Outcome, isSent: boolean): boolean {
	switch (type) {
		case 'not-run':
		case 'limited':
		case 'bad-request':
		case 'unauthenticated': {
			return true;
		}

		case 'abandoned':
		case 'timed-out':
		case 'unknown':
		case 'answered': {
			return !isSent;
		}
	}
}
