/** Processes the requests and probes of an upstream stand-in: they wait for a slot, run, and are answered. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {FreezeGate} from './freeze-gate.js';
import {readBody, sendJson} from './json-body.js';
import {type RunCounter, requestIdOf} from './run-counter.js';
import {ServiceTimes} from './service-times.js';
import {SlotPool, type Job} from './slot-pool.js';
import {writeAnswer} from './upstream-answer.js';
import {zeroCounters} from './upstream-counters.js';
import {noFaults, type UpstreamFaults} from './upstream-faults.js';
import {crossesZones, remainingMsOf, serviceMsOf} from './upstream-headers.js';
import type {UpstreamOptions} from './upstream-options.js';
import {UpstreamReporter} from './upstream-reporter.js';
import type {PendingRequest} from './pending-request.js';

export type UpstreamServiceParts = {
	readonly options: UpstreamOptions;
	readonly runs: RunCounter;
	/** Resets the connections and refuses new ones for `downMs`. */
	readonly crash: (downMs: number) => Promise<void>;
};

export class UpstreamService {
	counters = zeroCounters();
	faults: UpstreamFaults = noFaults;
	readonly pool: SlotPool;
	readonly freezeGate = new FreezeGate();
	readonly serviceTimes: ServiceTimes;
	readonly reporter: UpstreamReporter;
	readonly #parts: UpstreamServiceParts;

	constructor(parts: UpstreamServiceParts) {
		const {serviceMs, seed, slots, queueLength} = parts.options;
		this.#parts = parts;
		this.serviceTimes = new ServiceTimes(serviceMs, seed);
		this.pool = new SlotPool(slots, queueLength);
		this.reporter = new UpstreamReporter(this.pool, slots);
	}

	/** Processes one request until it is answered or fails. */
	async receive(request: IncomingMessage, response: ServerResponse, receivedAtMs: number): Promise<void> {
		try {
			const body = await readBody(request);
			const zoneDelayMs = crossesZones(request, this.#parts.options.availabilityZone) ? this.#parts.options.zoneDelayMs : 0;
			await delayIfAny(Math.ceil(zoneDelayMs));
			this.#submit({
				request,
				response,
				receivedAtMs,
				zoneDelayMs,
				requestId: requestIdOf(request, body),
				receivedBytes: body.length,
				faults: this.#faultsFor(request),
			});
		} catch {
			response.destroy();
		}
	}

	/** Answers a load probe, which occupies a slot for `probeCostMs`. */
	answerProbe(response: ServerResponse): void {
		const begin = async () => {
			await this.#occupySlot(this.#parts.options.probeCostMs);
			this.pool.release();
			sendJson(response, 200, this.reporter.createLoadReport(this.faults));
		};

		this.counters.probes += 1;
		this.counters.probeMs += this.#parts.options.probeCostMs;
		const isAccepted = this.pool.submit({
			begin() {
				void begin();
			},
		});
		if (!isAccepted) {
			this.reporter.sendShedAnswer(response, this.faults);
		}
	}

	#submit(pending: PendingRequest): void {
		const {response, requestId} = pending;
		if (pending.faults.failFast) {
			this.#parts.runs.add(requestId);
			this.counters.failedFast += 1;
			response.writeHead(500, this.reporter.createHeaders(this.faults)).end();
			return;
		}

		const job: Job = {
			begin: () => {
				void this.#run(pending);
			},
		};
		response.once('close', () => {
			this.counters.cancelled += this.pool.cancel(job) ? 1 : 0;
		});
		if (response.destroyed) {
			this.counters.cancelled += 1;
		} else if (!this.pool.submit(job)) {
			this.counters.shed += 1;
			this.reporter.sendShedAnswer(response, this.faults);
		}
	}

	async #run(pending: PendingRequest): Promise<void> {
		const {request, faults} = pending;
		const startMs = performance.now();
		if (startMs - pending.receivedAtMs >= remainingMsOf(request)) {
			this.counters.expired += 1;
			this.pool.release();
			this.reporter.sendShedAnswer(pending.response, this.faults);
			return;
		}

		this.#parts.runs.add(pending.requestId);
		this.counters.begun += 1;
		if (faults.crashHeader !== undefined && faults.crashHeader in request.headers) {
			this.pool.release();
			await this.#parts.crash(faults.crashDownMs);
			return;
		}

		await this.#occupySlot(this.serviceTimes.next(serviceMsOf(request), faults, startMs));
		this.counters.workMs += performance.now() - startMs;
		this.pool.release();
		await this.#answer(pending);
	}

	async #answer(pending: PendingRequest): Promise<void> {
		const {request, response, requestId, receivedBytes, faults} = pending;
		await delayIfAny(faults.lateMs + Math.floor(pending.zoneDelayMs));
		const content = {
			upstream: this.#parts.options.id, requestId, receivedBytes, remainingMs: remainingMsOf(request),
		};
		await writeAnswer(response, content, this.reporter.createHeaders(this.faults), faults);
		this.counters.answered += 1;
	}

	async #occupySlot(durationMs: number): Promise<void> {
		await delay(durationMs);
		await this.freezeGate.waitUntilThawed();
	}

	#faultsFor(request: IncomingMessage): UpstreamFaults {
		const {onlyWithHeader} = this.faults;
		return onlyWithHeader === undefined || onlyWithHeader in request.headers ? this.faults : noFaults;
	}
}

async function delayIfAny(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await delay(durationMs);
	}
}
