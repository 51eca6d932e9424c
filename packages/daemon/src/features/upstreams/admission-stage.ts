/** Queues calls while every upstream of their service is at its limit, and starts them in order of priority. */
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
	/** Returns whether a call of this priority has to wait: the service has available upstreams, but their limits do not admit it. */
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

/** Delay until the limits are checked again while calls wait, because the pause of an upstream ends without an event. */
const recheckDelayMs = 2;
/** Represents every priority other than the highest, which alone may exceed the concurrency limit. */
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
			const queueLength = this.#queues.get(call.serviceId)?.queue.length ?? 0;
			if (queueLength === 0 && !this.#dependencies.isAtLimit(call.serviceId, call.requestClass.priority)) {
				return next(call);
			}

			return this.#wait(call, next);
		};
	}

	/** Starts the queued calls that may start now. Must be called whenever a slot may have become free. */
	onSlotFreed(service: ServiceId): void {
		const entry = this.#queues.get(service);
		if (entry !== undefined && entry.queue.length > 0) {
			this.#processQueue(service, entry.queue);
		}
	}

	/** Cancels the timer and refuses the calls that still wait. */
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
			const waitingCall: WaitingCall = {
				call,
				start() {
					resolve(next(call));
				},
				end: resolve,
			};
			this.#enqueue(waitingCall);
		});
	}

	#enqueue(waitingCall: WaitingCall): void {
		const {call} = waitingCall;
		const nowMs = this.#dependencies.clock.monotonicMs();
		const queue = this.#queueFor(call.service);
		const request: QueuedRequest<WaitingCall> = {
			priority: call.requestClass.priority,
			tenant: call.tenant,
			arrivedAtMs: nowMs,
			deadlineAtMs: call.deadlineAtMs,
			payload: waitingCall,
		};
		const result = queue.offer(request, nowMs);
		if (result.type === 'shed') {
			this.#refuse(waitingCall, result.reason, result.retryAfterMs);
			return;
		}

		if (result.evicted !== undefined) {
			this.#refuse(result.evicted.payload, 'queue-full', result.retryAfterMs);
		}

		call.cancellation.onCancel(reason => {
			if (queue.cancel(request)) {
				waitingCall.end({type: 'not-run', reason});
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

	/** Returns the next call in order, or only one of the highest priority if the limits admit no others. */
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

	/** Returns the queue of the service. Changed rules apply to it from the next call on. */
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
