/**
 * Decides on the requests of those accounts for which this instance comes first in the order, or first of those that answer.
 *
 * A new owner doesn't know what was used before it. It asks the instances that come next in the order, one of which decided
 * before it unless that has ended, to stop and to report their tokens. If none has any, it starts with a small reserve. Where
 * an instance that comes earlier doesn't answer, it may have ended, or it may decide for another part of a divided fleet. The
 * owner then samples whether the rest of the fleet is reachable. If it isn't, the owner hands out only a small part of the
 * limit until the other part has noticed the division, and after that its share by the number of instances.
 */
import type {ClientAccountId} from '../model/ids.js';
import {AccountBucket} from './account-bucket.js';
import {AccountDemand} from './account-demand.js';
import {reserveOf} from './account-bound.js';
import {HandedOverLevels} from './handed-over-levels.js';
import type {LimitAnswer} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import type {MessageCalls} from './message-calls.js';
import type {SilentHosts} from './silent-hosts.js';

const callTiming = {intervalMs: 40, attempts: 2, searchAfterMs: 40};
/** Instances next in the order that are asked for their tokens; several instances may join at once. */
const askedForLevel = 3;
/** Instances that are sampled; a part of two thirds of the fleet is taken for the whole in one of 600 samples. */
const sampleSize = 16;
/** Part of a sample that has to answer for the fleet to count as undivided. */
const undividedRatio = 0.9;
/** Time until the instances of the other part of a divided fleet count as lost on either side. */
const divisionNoticedMs = 2500;
/** Part of its share that an owner hands out until then. */
const cautiousRatio = 0.15;
/** Time after which an instance that hears no other one knows that it is alone. It may have been the owner. */
const isolationNoticedMs = 800;
/** Part of its share that an owner of an undivided fleet hands out until then. */
const takeOverRatio = 0.5;
/** An instance that handles nothing for this long may have been replaced meanwhile. */
const pauseMs = 600;
/** An owner of at least this part of the fleet counts as the one that knows whether an account is over its limit. */
const certainShare = 0.5;

type Decision = {readonly count: number; readonly done: (answer: LimitAnswer | undefined) => void};

type Ownership = {
	bucket: AccountBucket | undefined;
	/** Defined if `bucket` is. */
	demand: AccountDemand | undefined;
	/** Decisions that wait for the bucket. */
	readonly waiting: Decision[];
	isPreparing: boolean;
	/** Level before a pause of this process; undefined without one. */
	levelBeforePause: number | undefined;
	/** Time at which the reserve was last used as a start. */
	reserveUsedAtMs: number;
	caution: {readonly ratio: number; readonly untilMs: number};
};

type Preparation = {
	/** Tokens that other instances or this one had left. */
	readonly levels: readonly number[];
	/** Part of the sampled instances that answered. */
	readonly reachedRatio: number;
	/** Whether an instance that comes earlier doesn't answer. */
	readonly isTakeOver: boolean;
};

/** Position of this instance in the order of an account. */
export type OwnerPosition = {
	/** Whether instances that come earlier don't answer. */
	readonly hasSilentAhead: boolean;
	/** Instances that come later. */
	readonly behind: readonly string[];
};

export class AccountOwner {
	readonly handedOver: HandedOverLevels;
	readonly #environment: LimiterEnvironment;
	readonly #calls: MessageCalls;
	readonly #ownerships = new Map<ClientAccountId, Ownership>();
	readonly #silent: SilentHosts;
	#tickedAtMs: number;

	constructor(environment: LimiterEnvironment, calls: MessageCalls, silent: SilentHosts) {
		this.#environment = environment;
		this.handedOver = new HandedOverLevels(environment);
		this.#calls = calls;
		this.#silent = silent;
		this.#tickedAtMs = environment.clock.monotonicMs();
	}

	/** Called regularly and before each decision. After a pause of this process, the levels are compared with those of others. */
	tick(): void {
		const nowMs = this.#environment.clock.monotonicMs();
		if (nowMs - this.#tickedAtMs > pauseMs) {
			for (const ownership of this.#ownerships.values()) {
				if (ownership.bucket !== undefined) {
					ownership.levelBeforePause = ownership.bucket.levelWhenFilled;
					ownership.bucket = undefined;
				}
			}
		}

		this.#tickedAtMs = nowMs;
	}

	/** @param done - called with undefined if the configuration doesn't limit the account */
	decide(account: ClientAccountId, count: number, position: OwnerPosition, done: Decision['done']): void {
		this.tick();
		const ownership = this.#ownership(account);
		ownership.waiting.push({count, done});
		if (ownership.bucket !== undefined) {
			this.#decideWaiting(account, ownership);
		} else if (!ownership.isPreparing) {
			this.#prepare(account, ownership, position);
		}
	}

	/** Stops deciding on an account. @returns the tokens left; undefined if this instance did not decide on it */
	release(account: ClientAccountId): number | undefined {
		const ownership = this.#ownerships.get(account);
		const level = ownership?.bucket?.level ?? ownership?.levelBeforePause;
		if (ownership !== undefined) {
			ownership.bucket = undefined;
			ownership.levelBeforePause = undefined;
		}

		return level;
	}

	/** Stops deciding on all accounts. @returns the tokens left of each */
	releaseAll(): ReadonlyArray<readonly [ClientAccountId, number]> {
		return [...this.#ownerships.keys()].flatMap(account => {
			const level = this.release(account);
			return level === undefined ? [] : [[account, level] as const];
		});
	}

	giveBack(account: ClientAccountId, count: number): void {
		this.#ownerships.get(account)?.bucket?.giveBack(count);
	}

	/** Forgets accounts that the configuration no longer limits. */
	retain(isLimited: (account: ClientAccountId) => boolean): void {
		this.handedOver.retain(isLimited);
		for (const account of this.#ownerships.keys()) {
			if (!isLimited(account)) {
				this.#ownerships.delete(account);
			}
		}
	}

	#ownership(account: ClientAccountId): Ownership {
		const ownership = this.#ownerships.get(account) ?? {
			bucket: undefined,
			demand: undefined,
			waiting: [],
			isPreparing: false,
			levelBeforePause: undefined,
			reserveUsedAtMs: Number.NEGATIVE_INFINITY,
			caution: {ratio: 1, untilMs: 0},
		};
		this.#ownerships.set(account, ownership);
		return ownership;
	}

	#prepare(account: ClientAccountId, ownership: Ownership, {hasSilentAhead, behind}: OwnerPosition): void {
		ownership.isPreparing = true;
		const sample = hasSilentAhead ? this.#sample() : [];
		this.#calls.callAll(sample, sequence => ({type: 'limit-check', sequence}), callTiming, checked => {
			const reached = checked.filter(reply => reply !== undefined).length;
			const reachedRatio = (reached + 1) / (sample.length + 1);
			this.#calls.callAll(this.#mayHaveDecided(behind), sequence => ({type: 'limit-take-over', account, sequence}), callTiming, replies => {
				const own = [ownership.levelBeforePause, this.handedOver.take(account, this.#share)].filter(level => level !== undefined);
				const levels = replies.flatMap(reply => reply?.type === 'limit-level' && reply.level !== undefined ? [reply.level] : []);
				this.#finishPreparing(account, ownership, {levels: [...levels, ...own], reachedRatio, isTakeOver: hasSilentAhead});
			});
		});
	}

	#finishPreparing(account: ClientAccountId, ownership: Ownership, {levels, reachedRatio, isTakeOver}: Preparation): void {
		const {clock, bound, limitOf} = this.#environment;
		const limit = limitOf(account);
		ownership.isPreparing = false;
		ownership.levelBeforePause = undefined;
		if (limit !== undefined) {
			const nowMs = clock.monotonicMs();
			const isDivided = reachedRatio < undividedRatio;
			const part = Math.min(reachedRatio, this.#share);
			const level = levels.length > 0 ? Math.min(...levels) : this.#takeReserve(ownership, reserveOf(limit, bound()) * part);
			const hasUnknownPast = isTakeOver && levels.length === 0;
			ownership.caution = isDivided
				? {ratio: reachedRatio * cautiousRatio, untilMs: nowMs + divisionNoticedMs}
				: {ratio: takeOverRatio, untilMs: hasUnknownPast ? nowMs + isolationNoticedMs : 0};
			ownership.bucket = new AccountBucket(clock, bound(), limit, level);
			ownership.demand = new AccountDemand(clock, limit);
		}

		this.#decideWaiting(account, ownership);
	}

	/** The reserve may be used once in a window. */
	#takeReserve(ownership: Ownership, reserve: number): number {
		const nowMs = this.#environment.clock.monotonicMs();
		if (nowMs - ownership.reserveUsedAtMs < this.#environment.bound().windowMs) {
			return 0;
		}

		ownership.reserveUsedAtMs = nowMs;
		return reserve;
	}

	#decideWaiting(account: ClientAccountId, ownership: Ownership): void {
		const limit = this.#environment.limitOf(account);
		const {bucket, demand} = ownership;
		const waiting = ownership.waiting.splice(0);
		if (limit === undefined || bucket === undefined || demand === undefined) {
			for (const {done} of waiting) {
				done(undefined);
			}

			return;
		}

		const {caution} = ownership;
		const share = this.#share;
		const isCautious = this.#environment.clock.monotonicMs() < caution.untilMs;
		bucket.setLimit(limit, share, isCautious ? caution.ratio : 1);
		demand.setLimit(limit);
		for (const {count, done} of waiting) {
			const isOverLimit = demand.record(count);
			const granted = bucket.take(count);
			const refused = count - granted;
			done({
				granted,
				tokenInMs: bucket.tokenInMs,
				retryAfterMs: refused === 0 ? 0 : bucket.queue(refused),
				isCertain: isOverLimit && share >= certainShare,
			});
		}
	}

	/** The part of the limit that this instance hands out: that of the fleet which it reaches. */
	get #share(): number {
		const {instances, hasHeardOthers} = this.#environment.fleet();
		const live = hasHeardOthers ? this.#silent.reachable.length + 1 : 1;
		return Math.min(1, live / instances);
	}

	/** Of the instances that come later, those that may have decided before: the first live ones, and the first ones that others may reach. */
	#mayHaveDecided(behind: readonly string[]): readonly string[] {
		const suspected = new Set(this.#environment.fleet().suspected);
		const answering = behind.filter(host => !this.#silent.isSilent(host));
		return [
			...answering.filter(host => !suspected.has(host)).slice(0, askedForLevel),
			...answering.filter(host => suspected.has(host)).slice(0, askedForLevel),
		];
	}

	#sample(): readonly string[] {
		const {random} = this.#environment;
		const hosts = [...this.#silent.reachable];
		const sample: string[] = [];
		while (hosts.length > 0 && sample.length < sampleSize) {
			sample.push(...hosts.splice(random.nextInteger(hosts.length), 1));
		}

		return sample;
	}
}
