/**
 * The short queue before the choice of an upstream: by priority, then by tenant in turn, then by deadline.
 * Every few turns the oldest request of the least important class goes first, so that none starves. What
 * would not be started in time is refused at once, the least important first.
 */
import type {TenantId} from '../model/ids.js';
import type {LimitRules} from '../model/service-rules.js';
import type {OfferResult} from './offer-result.js';
import type {QueuedRequest} from './queued-request.js';
import {DequeueRate} from './dequeue-rate.js';

/** One turn in this many goes to the least important class that waits. */
const turnsPerLeastImportant = 8;
const minimumRetryAfterMs = 50;

export class AdmissionQueue<Payload> {
	#rules: LimitRules;
	readonly #waiting: Array<QueuedRequest<Payload>> = [];
	readonly #waitingByTenant = new Map<TenantId, number>();
	/** Turn at which a tenant was last served; absent long ago. */
	readonly #servedAtTurn = new Map<TenantId, number>();
	readonly #rate = new DequeueRate();
	#turn = 0;

	constructor(rules: LimitRules) {
		this.#rules = rules;
	}

	get length(): number {
		return this.#waiting.length;
	}

	/** Changed rules apply from now on; what waits stays. */
	setRules(rules: LimitRules): void {
		this.#rules = rules;
	}

	/** Offers a request that cannot be started now. */
	offer(request: QueuedRequest<Payload>, nowMs: number): OfferResult<Payload> {
		const waitMs = this.#rate.expectedWaitMs(this.#countAhead(request));
		const retryAfterMs = Math.max(minimumRetryAfterMs, Math.ceil(this.#rate.expectedWaitMs(this.length)));
		if (nowMs + waitMs >= this.#latestStartMs(request)) {
			return {type: 'shed', reason: 'queue-timeout', retryAfterMs};
		}

		const evicted = this.#victimFor(request);
		if (evicted === request) {
			return {type: 'shed', reason: 'queue-full', retryAfterMs};
		}

		if (evicted !== undefined) {
			this.#remove(evicted);
		}

		this.#add(request, nowMs);
		return evicted === undefined ? {type: 'queued', retryAfterMs} : {type: 'queued', evicted, retryAfterMs};
	}

	/**
	 * The next request to start, or none. Call `expire` first.
	 *
	 * @param leastPriority only requests at least as important as this are taken
	 */
	take(nowMs: number, leastPriority = Number.POSITIVE_INFINITY): QueuedRequest<Payload> | undefined {
		const next = this.#next(leastPriority);
		if (next === undefined) {
			return undefined;
		}

		this.#turn++;
		this.#remove(next);
		this.#markServed(next.tenant);
		this.#rate.onDequeued(nowMs, this.length > 0);
		return next;
	}

	/** Removes and returns what can no longer be started in time. */
	expire(nowMs: number): Array<QueuedRequest<Payload>> {
		const expired = this.#waiting.filter(request => nowMs >= this.#latestStartMs(request));
		for (const request of expired) {
			this.#remove(request);
		}

		return expired;
	}

	/** Removes a request whose caller has gone; whether it was waiting. */
	cancel(request: QueuedRequest<Payload>): boolean {
		const isWaiting = this.#waiting.includes(request);
		if (isWaiting) {
			this.#remove(request);
		}

		return isWaiting;
	}

	/** When the next waiting request expires; absent for an empty queue. */
	nextExpiryMs(): number | undefined {
		let earliestMs: number | undefined;
		for (const request of this.#waiting) {
			earliestMs = Math.min(earliestMs ?? Number.POSITIVE_INFINITY, this.#latestStartMs(request));
		}

		return earliestMs;
	}

	#latestStartMs(request: QueuedRequest<Payload>): number {
		return Math.min(request.deadlineAtMs, request.arrivedAtMs + this.#rules.queueWaitMs);
	}

	#countAhead(request: QueuedRequest<Payload>): number {
		let ahead = 0;
		for (const other of this.#waiting) {
			ahead += other.priority <= request.priority ? 1 : 0;
		}

		return ahead;
	}

	#tenantLimit(): number {
		return Math.max(1, Math.floor(this.#rules.queueLength * this.#rules.tenantRatio));
	}

	/** Who has to go so that the request fits: nobody, one that waits, or the request itself. */
	#victimFor(request: QueuedRequest<Payload>): QueuedRequest<Payload> | undefined {
		const ofTenant = this.#waitingByTenant.get(request.tenant) ?? 0;
		const othersWait = this.#waitingByTenant.size > (ofTenant > 0 ? 1 : 0);
		if (othersWait && ofTenant >= this.#tenantLimit()) {
			return this.#leastImportant([...this.#waiting.filter(other => other.tenant === request.tenant), request]);
		}

		return this.length < this.#rules.queueLength ? undefined : this.#leastImportant([...this.#waiting, request]);
	}

	/** Lowest priority, then the tenant that holds most, then the latest arrival. */
	#leastImportant(requests: ReadonlyArray<QueuedRequest<Payload>>): QueuedRequest<Payload> | undefined {
		let worst: QueuedRequest<Payload> | undefined;
		for (const request of requests) {
			if (worst === undefined || this.#isLessImportant(request, worst)) {
				worst = request;
			}
		}

		return worst;
	}

	#isLessImportant(request: QueuedRequest<Payload>, other: QueuedRequest<Payload>): boolean {
		if (request.priority !== other.priority) {
			return request.priority > other.priority;
		}

		const held = this.#waitingByTenant.get(request.tenant) ?? 0;
		const otherHeld = this.#waitingByTenant.get(other.tenant) ?? 0;
		return held === otherHeld ? request.arrivedAtMs >= other.arrivedAtMs : held > otherHeld;
	}

	#next(leastPriority: number): QueuedRequest<Payload> | undefined {
		const isTurnOfLeastImportant = this.#turn % turnsPerLeastImportant === turnsPerLeastImportant - 1;
		const sign = isTurnOfLeastImportant ? -1 : 1;
		let best: QueuedRequest<Payload> | undefined;
		for (const request of this.#waiting) {
			const isEligible = request.priority <= leastPriority;
			if (isEligible && (best === undefined || this.#compare(request, best, sign) < 0)) {
				best = request;
			}
		}

		return best;
	}

	#compare(request: QueuedRequest<Payload>, other: QueuedRequest<Payload>, prioritySign: number): number {
		return ((request.priority - other.priority) * prioritySign)
			|| (this.#lastServed(request.tenant) - this.#lastServed(other.tenant))
			|| (request.deadlineAtMs - other.deadlineAtMs);
	}

	#lastServed(tenant: TenantId): number {
		return this.#servedAtTurn.get(tenant) ?? 0;
	}

	/** Keeps turns only of tenants that wait or were served lately, so that the table stays bounded. */
	#markServed(tenant: TenantId): void {
		this.#servedAtTurn.delete(tenant);
		this.#servedAtTurn.set(tenant, this.#turn);
		if (this.#servedAtTurn.size > Math.max(1, this.#rules.queueLength)) {
			const [oldest] = this.#servedAtTurn.keys();
			this.#servedAtTurn.delete(oldest!);
		}
	}

	#add(request: QueuedRequest<Payload>, nowMs: number): void {
		if (this.length === 0) {
			this.#rate.onFirstQueued(nowMs);
		}

		this.#waiting.push(request);
		this.#waitingByTenant.set(request.tenant, (this.#waitingByTenant.get(request.tenant) ?? 0) + 1);
	}

	#remove(request: QueuedRequest<Payload>): void {
		this.#waiting.splice(this.#waiting.indexOf(request), 1);
		const left = (this.#waitingByTenant.get(request.tenant) ?? 0) - 1;
		if (left > 0) {
			this.#waitingByTenant.set(request.tenant, left);
		} else {
			this.#waitingByTenant.delete(request.tenant);
		}
	}
}
