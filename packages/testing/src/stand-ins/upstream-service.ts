/** The work of an upstream: requests and probes wait for slots, run, and are answered. */
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
	/** Takes the upstream down for a while. */
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

	/** Takes one request to its end. */
	async receive(request: IncomingMessage, response: ServerResponse, receivedMs: number): Promise<void> {
		try {
			const body = await readBody(request);
			const zoneDelayMs = crossesZones(request, this.#parts.options.availabilityZone) ? this.#parts.options.zoneDelayMs : 0;
			await delayIfAny(Math.ceil(zoneDelayMs));
			this.#submit({
				request,
				response,
				receivedAtMs: receivedMs,
				zoneDelayMs,
				requestId: requestIdOf(request, body),
				receivedBytes: body.length,
				faults: this.#faultsFor(request),
			});
		} catch {
			response.destroy();
		}
	}

	/** Answers a load probe, which takes its cost of a slot. */
	answerProbe(response: ServerResponse): void {
		const begin = async () => {
			await this.#occupySlot(this.#parts.options.probeCostMs);
			this.pool.release();
			sendJson(response, 200, this.reporter.createLoadReport(this.faults));
		};

		this.counters.probes += 1;
		this.counters.probeMs += this.#parts.options.probeCostMs;
		const taken = this.pool.submit({
			begin() {
				void begin();
			},
		});
		if (!taken) {
			this.reporter.sendShedAnswer(response, this.faults);
		}
	}

	#submit(work: PendingRequest): void {
		const {response, requestId} = work;
		if (work.faults.failFast) {
			this.#parts.runs.add(requestId);
			this.counters.failedFast += 1;
			response.writeHead(500, this.reporter.createHeaders(this.faults)).end();
			return;
		}

		const job: Job = {
			begin: () => {
				void this.#run(work);
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

	async #run(work: PendingRequest): Promise<void> {
		const {request, faults} = work;
		const startMs = performance.now();
		if (startMs - work.receivedAtMs >= remainingMsOf(request)) {
			this.counters.expired += 1;
			this.pool.release();
			this.reporter.sendShedAnswer(work.response, this.faults);
			return;
		}

		this.#parts.runs.add(work.requestId);
		this.counters.begun += 1;
		if (faults.crashHeader !== undefined && faults.crashHeader in request.headers) {
			this.pool.release();
			await this.#parts.crash(faults.crashDownMs);
			return;
		}

		await this.#occupySlot(this.serviceTimes.next(serviceMsOf(request), faults, startMs));
		this.counters.workMs += performance.now() - startMs;
		this.pool.release();
		await this.#answer(work);
	}

	async #answer(work: PendingRequest): Promise<void> {
		const {request, response, requestId, receivedBytes, faults} = work;
		await delayIfAny(faults.lateMs + Math.floor(work.zoneDelayMs));
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
