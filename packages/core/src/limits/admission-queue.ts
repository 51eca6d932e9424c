/**
 * Holds requests for a short time before an upstream is selected. Requests leave it by priority, then by the tenant
 * served least recently, then by deadline. One request in every `turnsPerLeastImportant` comes from the
 * least important class instead, so that no class starves. A request that would not be started in time is refused at
 * once. If the queue or a tenant's share of it is full, the least important request is refused or evicted.
 */
import type {TenantId} from '../model/ids.js';
import type {LimitRules} from '../model/service-rules.js';
import type {OfferResult} from './offer-result.js';
import type {QueuedRequest} from './queued-request.js';
import {DequeueRate} from './dequeue-rate.js';

/** One request in this many is taken from the least important class in the queue. */
const turnsPerLeastImportant = 8;
const minimumRetryAfterMs = 50;

export class AdmissionQueue<Payload> {
	#rules: LimitRules;
	readonly #waiting: Array<QueuedRequest<Payload>> = [];
	readonly #waitingByTenant = new Map<TenantId, number>();
	/** Turn at which a tenant was last served; absent for tenants that were not served recently. */
	readonly #servedAtTurn = new Map<TenantId, number>();
	readonly #dequeueRate = new DequeueRate();
	#turn = 0;

	constructor(rules: LimitRules) {
		this.#rules = rules;
	}

	get length(): number {
		return this.#waiting.length;
	}

	/** Replaces the rules. Requests that are already queued stay queued. */
	setRules(rules: LimitRules): void {
		this.#rules = rules;
	}

	/** Queues a request that cannot be started now, or sheds it. */
	offer(request: QueuedRequest<Payload>, nowMs: number): OfferResult<Payload> {
		const waitMs = this.#dequeueRate.expectedWaitMs(this.#countAhead(request));
		const retryAfterMs = Math.max(minimumRetryAfterMs, Math.ceil(this.#dequeueRate.expectedWaitMs(this.length)));
		if (nowMs + waitMs >= this.#latestStartMs(request)) {
			return {type: 'shed', reason: 'queue-timeout', retryAfterMs};
		}

		const evicted = this.#requestToDrop(request);
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
	 * Removes and returns the next request to start, if there is one. Call `expire` first.
	 *
	 * @param leastPriority only requests of this or a more important priority are taken
	 */
	take(nowMs: number, leastPriority = Number.POSITIVE_INFINITY): QueuedRequest<Payload> | undefined {
		const next = this.#next(leastPriority);
		if (next === undefined) {
			return undefined;
		}

		this.#turn++;
		this.#remove(next);
		this.#markServed(next.tenant);
		this.#dequeueRate.onDequeued(nowMs, this.length > 0);
		return next;
	}

	/** Removes and returns the requests that can no longer be started in time. */
	expire(nowMs: number): Array<QueuedRequest<Payload>> {
		const expired = this.#waiting.filter(request => nowMs >= this.#latestStartMs(request));
		for (const request of expired) {
			this.#remove(request);
		}

		return expired;
	}

	/** Removes a request whose caller has disconnected. Returns whether it was queued. */
	cancel(request: QueuedRequest<Payload>): boolean {
		const isWaiting = this.#waiting.includes(request);
		if (isWaiting) {
			this.#remove(request);
		}

		return isWaiting;
	}

	/** Returns when the next queued request expires; `undefined` for an empty queue. */
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

	/** Returns the request to drop so that the new one fits: `undefined` if there is room, a queued request, or the new one itself. */
	#requestToDrop(request: QueuedRequest<Payload>): QueuedRequest<Payload> | undefined {
		const ofTenant = this.#waitingByTenant.get(request.tenant) ?? 0;
		const hasOtherTenants = this.#waitingByTenant.size > (ofTenant > 0 ? 1 : 0);
		if (hasOtherTenants && ofTenant >= this.#tenantLimit()) {
			return this.#leastImportant([...this.#waiting.filter(other => other.tenant === request.tenant), request]);
		}

		return this.length < this.#rules.queueLength ? undefined : this.#leastImportant([...this.#waiting, request]);
	}

	/** Returns the request of the lowest priority, then of the tenant with most queued requests, then the latest arrival. */
	#leastImportant(requests: ReadonlyArray<QueuedRequest<Payload>>): QueuedRequest<Payload> | undefined {
		let leastImportant: QueuedRequest<Payload> | undefined;
		for (const request of requests) {
			if (leastImportant === undefined || this.#isLessImportant(request, leastImportant)) {
				leastImportant = request;
			}
		}

		return leastImportant;
	}

	#isLessImportant(request: QueuedRequest<Payload>, other: QueuedRequest<Payload>): boolean {
		if (request.priority !== other.priority) {
			return request.priority > other.priority;
		}

		const queuedOfTenant = this.#waitingByTenant.get(request.tenant) ?? 0;
		const queuedOfOther = this.#waitingByTenant.get(other.tenant) ?? 0;
		return queuedOfTenant === queuedOfOther ? request.arrivedAtMs >= other.arrivedAtMs : queuedOfTenant > queuedOfOther;
	}

	#next(leastPriority: number): QueuedRequest<Payload> | undefined {
		const isTurnOfLeastImportant = this.#turn % turnsPerLeastImportant === turnsPerLeastImportant - 1;
		const sign = isTurnOfLeastImportant ? -1 : 1;
		let next: QueuedRequest<Payload> | undefined;
		for (const request of this.#waiting) {
			const isEligible = request.priority <= leastPriority;
			if (isEligible && (next === undefined || this.#compare(request, next, sign) < 0)) {
				next = request;
			}
		}

		return next;
	}

	#compare(request: QueuedRequest<Payload>, other: QueuedRequest<Payload>, prioritySign: number): number {
		return ((request.priority - other.priority) * prioritySign)
			|| (this.#lastServed(request.tenant) - this.#lastServed(other.tenant))
			|| (request.deadlineAtMs - other.deadlineAtMs);
	}

	#lastServed(tenant: TenantId): number {
		return this.#servedAtTurn.get(tenant) ?? 0;
	}

	/** Records the turn of a tenant. Drops the tenant served least recently once there are more than `queueLength`, so that the map stays bounded. */
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
			this.#dequeueRate.onFirstQueued(nowMs);
		}

		this.#waiting.push(request);
		this.#waitingByTenant.set(request.tenant, (this.#waitingByTenant.get(request.tenant) ?? 0) + 1);
	}

	#remove(request: QueuedRequest<Payload>): void {
		this.#waiting.splice(this.#waiting.indexOf(request), 1);
		const remaining = (this.#waitingByTenant.get(request.tenant) ?? 0) - 1;
		if (remaining > 0) {
			this.#waitingByTenant.set(request.tenant, remaining);
		} else {
			this.#waitingByTenant.delete(request.tenant);
		}
	}
}
