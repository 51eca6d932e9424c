/** Holds calls back while every upstream of their service is at its limit, the important ones least. */
import type {Clock, ServiceId} from '@cairnbank/core';
import {
	AdmissionQueue, highestPriority, type QueuedRequest, type QueueShedReason,
} from '@cairnbank/core/limits';
import type {NotRunReason, Outcome} from '@cairnbank/core/outcomes';
import type {Call} from '../calls/call.js';
import type {CallHandler, CallStage} from '../calls/call-handler.js';
import type {ServiceInForce} from '../calls/service-in-force.js';
import type {UpstreamMetrics} from './upstream-metrics.js';

export type AdmissionStageDependencies = {
	readonly clock: Clock;
	readonly metrics: UpstreamMetrics;
	/** Whether waiting is the only way to an upstream of the service. */
	isAtLimit(service: ServiceId, priority: number): boolean;
};

type WaitingCall = {
	readonly call: Call;
	readonly start: () => void;
	readonly end: (outcome: Outcome) => void;
};

type ServiceQueue = {
	readonly rules: ServiceInForce['rules']['limits'];
	readonly queue: AdmissionQueue<WaitingCall>;
};

/** Time after which a closed upstream is looked at again while calls wait. */
const recheckDelayMs = 2;
/** Any priority but the first. */
const ordinaryPriority = 9;

export class AdmissionStage implements CallStage {
	readonly name = 'admission';
	readonly #dependencies: AdmissionStageDependencies;
	readonly #queues = new Map<ServiceId, ServiceQueue>();
	#recheckTimer: NodeJS.Timeout | undefined;

	constructor(dependencies: AdmissionStageDependencies) {
		this.#dependencies = dependencies;
	}

	wrap(next: CallHandler): CallHandler {
		return async call => {
			const waiting = this.#queues.get(call.serviceId)?.queue.length ?? 0;
			if (waiting === 0 && !this.#dependencies.isAtLimit(call.serviceId, call.requestClass.priority)) {
				return next(call);
			}

			return this.#wait(call, next);
		};
	}

	/** Starts what may start now; to be called whenever a place may have become free. */
	onSlotFreed(service: ServiceId): void {
		const entry = this.#queues.get(service);
		if (entry !== undefined && entry.queue.length > 0) {
			this.#processQueue(service, entry.queue);
		}
	}

	/** Ends the timer; calls that still wait are refused. */
	stop(): void {
		clearTimeout(this.#recheckTimer);
		this.#recheckTimer = undefined;
		for (const {queue} of this.#queues.values()) {
			for (const request of queue.expire(Number.POSITIVE_INFINITY)) {
				this.#refuse(request.payload, 'stopping');
			}
		}
	}

	async #wait(call: Call, next: CallHandler): Promise<Outcome> {
		return new Promise(resolve => {
			const waiting: WaitingCall = {
				call,
				start() {
					resolve(next(call));
				},
				end: resolve,
			};
			this.#enqueue(waiting);
		});
	}

	#enqueue(waiting: WaitingCall): void {
		const {call} = waiting;
		const nowMs = this.#dependencies.clock.monotonicMs();
		const queue = this.#queueFor(call.service);
		const request: QueuedRequest<WaitingCall> = {
			priority: call.requestClass.priority,
			tenant: call.tenant,
			arrivedAtMs: nowMs,
			deadlineAtMs: call.deadlineAtMs,
			payload: waiting,
		};
		const result = queue.offer(request, nowMs);
		if (result.type === 'shed') {
			this.#refuse(waiting, result.reason, result.retryAfterMs);
			return;
		}

		if (result.evicted !== undefined) {
			this.#refuse(result.evicted.payload, 'queue-full', result.retryAfterMs);
		}

		call.cancellation.onCancel(() => {
			if (queue.cancel(request)) {
				waiting.end({type: 'not-run', reason: 'caller-gone'});
			}
		});
		this.#dependencies.metrics.countQueued(call.serviceId);
		this.#processQueue(call.serviceId, queue);
	}

	#processQueue(service: ServiceId, queue: AdmissionQueue<WaitingCall>): void {
		const nowMs = this.#dependencies.clock.monotonicMs();
		for (const request of queue.expire(nowMs)) {
			this.#refuse(request.payload, nowMs >= request.deadlineAtMs ? 'deadline-exceeded' : 'queue-timeout');
		}

		for (let request = this.#takeNext(service, queue, nowMs); request !== undefined; request = this.#takeNext(service, queue, nowMs)) {
			this.#dependencies.metrics.observeQueueWait(service, nowMs - request.arrivedAtMs);
			request.payload.start();
		}

		this.#dependencies.metrics.setQueueLength(service, queue.length);
		if (queue.length > 0) {
			this.#recheckTimer ??= setTimeout(() => {
				this.#recheck();
			}, recheckDelayMs);
		}
	}

	/** The next in order while there is room for all; else the first class alone. */
	#takeNext(service: ServiceId, queue: AdmissionQueue<WaitingCall>, nowMs: number): QueuedRequest<WaitingCall> | undefined {
		if (queue.length === 0) {
			return undefined;
		}

		if (!this.#dependencies.isAtLimit(service, ordinaryPriority)) {
			return queue.take(nowMs);
		}

		return this.#dependencies.isAtLimit(service, highestPriority) ? undefined : queue.take(nowMs, highestPriority);
	}

	#recheck(): void {
		this.#recheckTimer = undefined;
		for (const [service, {queue}] of this.#queues) {
			if (queue.length > 0) {
				this.#processQueue(service, queue);
			}
		}
	}

	#refuse({call, end}: WaitingCall, reason: NotRunReason | QueueShedReason, retryAfterMs?: number): void {
		this.#dependencies.metrics.countShed(call.serviceId, call.requestClass.id, reason);
		end({type: 'not-run', reason, ...(retryAfterMs !== undefined && {retryAfterMs})});
	}

	/** One queue per service; a changed rule applies to it from the next call on. */
	#queueFor({id, rules: {limits}}: ServiceInForce): AdmissionQueue<WaitingCall> {
		const known = this.#queues.get(id);
		if (known?.rules === limits) {
			return known.queue;
		}

		if (known !== undefined) {
			known.queue.setRules(limits);
			this.#queues.set(id, {rules: limits, queue: known.queue});
			return known.queue;
		}

		const queue = new AdmissionQueue<WaitingCall>(limits);
		this.#queues.set(id, {rules: limits, queue});
		return queue;
	}
}
