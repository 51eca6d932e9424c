/** Stand-in of an upstream: slots, a queue, load reports, drains, and every fault the brief names. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createControlServer} from './control-server.js';
import {FreezeGate} from './freeze-gate.js';
import {readBody, sendJson} from './json-body.js';
import {Listener} from './listener.js';
import {RunCounter, requestIdOf} from './run-counter.js';
import {ServiceTimes} from './service-times.js';
import {SlotPool, type Job} from './slot-pool.js';
import {writeAnswer} from './upstream-answer.js';
import {zeroCounters} from './upstream-counters.js';
import {
	noFaults, upstreamFaultsSchema, type UpstreamFaults, type UpstreamFaultsPatch,
} from './upstream-faults.js';
import type {UpstreamWork} from './upstream-work.js';
import {UpstreamReporter} from './upstream-reporter.js';
import {crossesZones, remainingMsOf, serviceMsOf} from './upstream-headers.js';
import {upstreamOptionsSchema, type UpstreamOptions, type UpstreamOptionsInput} from './upstream-options.js';

/** Start, switch faults, read counts, stop. */
export class UpstreamStandIn {
	readonly options: UpstreamOptions;
	readonly runs = new RunCounter();
	counters = zeroCounters();
	readonly #times: ServiceTimes;
	readonly #pool: SlotPool;
	readonly #reporter: UpstreamReporter;
	readonly #gate = new FreezeGate();
	readonly #listener = new Listener((request, response) => {
		const receivedMs = performance.now();
		this.#gate.pass(() => {
			this.#route(request, response, receivedMs);
		});
	});

	readonly #control = createControlServer({
		'GET /_runs': () => this.runs.counts(),
		'GET /_counters': () => this.counters,
		'GET /_faults': () => this.#faults,
		'PUT /_faults': async body => this.setFaults(body as UpstreamFaultsPatch),
		'DELETE /_faults': async () => this.clearFaults(),
		'POST /_reset': () => {
			this.runs.clear();
			this.counters = zeroCounters();
		},
	});

	#faults: UpstreamFaults = noFaults;
	#drainingSinceMs = 0;

	constructor(options: UpstreamOptionsInput = {}) {
		this.options = upstreamOptionsSchema.parse(options);
		this.#times = new ServiceTimes(this.options.serviceMs, this.options.seed);
		this.#pool = new SlotPool(this.options.slots, this.options.queueLength);
		this.#reporter = new UpstreamReporter(this.#pool, this.options.slots);
	}

	get address(): string {
		return this.#listener.address;
	}

	get controlUrl(): string {
		return this.#control.url;
	}

	get inFlight(): number {
		return this.#pool.inFlight;
	}

	async start(): Promise<this> {
		await this.#listener.open(this.options.port);
		await this.#control.open(this.options.controlPort);
		return this;
	}

	async stop(): Promise<void> {
		await this.#listener.refuse();
		await this.#control.refuse();
	}

	/** Changes the named faults and leaves the others. */
	async setFaults(patch: UpstreamFaultsPatch): Promise<void> {
		const before = this.#faults;
		const faults = upstreamFaultsSchema.parse({...before, ...patch});
		this.#faults = faults;
		this.#times.change(patch, faults, performance.now());
		if (faults.draining && !before.draining) {
			this.#drainingSinceMs = performance.now();
		}

		if (before.frozen !== faults.frozen) {
			this.#setFrozen(faults.frozen);
		}

		if (before.refusing !== faults.refusing) {
			await (faults.refusing ? this.#listener.refuse() : this.#listener.open());
		}
	}

	async clearFaults(): Promise<void> {
		const unset = Object.fromEntries(Object.keys(upstreamFaultsSchema.shape).map(key => [key, undefined]));
		await this.setFaults({...unset, ...noFaults});
	}

	/** Resets every connection and refuses new ones for a while, as a crash does. */
	async crash(downMs: number = this.#faults.crashDownMs): Promise<void> {
		this.counters.crashes += 1;
		await this.#listener.refuse();
		await delay(downMs);
		await this.#listener.open();
	}

	#route(request: IncomingMessage, response: ServerResponse, receivedMs: number): void {
		this.counters.peakConnections = Math.max(this.counters.peakConnections, this.#listener.connections);
		if (request.url === '/health') {
			this.counters.healthChecks += 1;
			this.#reporter.answerHealth(response, this.#faults);
		} else if (request.url === '/load') {
			this.#probe(response);
		} else {
			void this.#receive(request, response, receivedMs);
		}
	}

	async #receive(request: IncomingMessage, response: ServerResponse, receivedMs: number): Promise<void> {
		this.#countArrival();
		try {
			const body = await readBody(request);
			const zoneDelayMs = crossesZones(request, this.options.availabilityZone) ? this.options.zoneDelayMs : 0;
			await delayIfAny(Math.ceil(zoneDelayMs));
			this.#submit({
				request,
				response,
				receivedMs,
				zoneDelayMs,
				requestId: requestIdOf(request, body),
				receivedBytes: body.length,
				faults: this.#faultsFor(request),
			});
		} catch {
			response.destroy();
		}
	}

	#submit(work: UpstreamWork): void {
		const {response, requestId} = work;
		if (work.faults.failFast) {
			this.runs.add(requestId);
			this.counters.failedFast += 1;
			response.writeHead(500, this.#reporter.headers(this.#faults)).end();
			return;
		}

		const job: Job = {
			begin: () => {
				void this.#begin(work);
			},
		};
		response.once('close', () => {
			this.counters.cancelled += this.#pool.withdraw(job) ? 1 : 0;
		});
		if (response.destroyed) {
			this.counters.cancelled += 1;
		} else if (!this.#pool.submit(job)) {
			this.counters.shed += 1;
			this.#reporter.shed(response, this.#faults);
		}
	}

	async #begin(work: UpstreamWork): Promise<void> {
		const {request, faults} = work;
		const startMs = performance.now();
		if (startMs - work.receivedMs >= remainingMsOf(request)) {
			this.counters.expired += 1;
			this.#pool.release();
			this.#reporter.shed(work.response, this.#faults);
			return;
		}

		this.runs.add(work.requestId);
		this.counters.begun += 1;
		if (faults.crashHeader !== undefined && faults.crashHeader in request.headers) {
			this.#pool.release();
			await this.crash(faults.crashDownMs);
			return;
		}

		await this.#hold(this.#times.next(serviceMsOf(request), faults, startMs));
		this.counters.workMs += performance.now() - startMs;
		this.#pool.release();
		await this.#answer(work);
	}

	async #answer(work: UpstreamWork): Promise<void> {
		const {request, response, requestId, receivedBytes, faults} = work;
		await delayIfAny(faults.lateMs + Math.floor(work.zoneDelayMs));
		const content = {
			upstream: this.options.id, requestId, receivedBytes, remainingMs: remainingMsOf(request),
		};
		await writeAnswer(response, content, this.#reporter.headers(this.#faults), faults);
		this.counters.answered += 1;
	}

	#probe(response: ServerResponse): void {
		const begin = async () => {
			await this.#hold(this.options.probeCostMs);
			this.#pool.release();
			sendJson(response, 200, this.#reporter.load(this.#faults));
		};

		this.counters.probes += 1;
		this.counters.probeMs += this.options.probeCostMs;
		const taken = this.#pool.submit({
			begin() {
				void begin();
			},
		});
		if (!taken) {
			this.#reporter.shed(response, this.#faults);
		}
	}

	async #hold(durationMs: number): Promise<void> {
		await delay(durationMs);
		await this.#gate.passed();
	}

	#faultsFor(request: IncomingMessage): UpstreamFaults {
		const {onlyWithHeader} = this.#faults;
		return onlyWithHeader === undefined || onlyWithHeader in request.headers ? this.#faults : noFaults;
	}

	#countArrival(): void {
		this.counters.received += 1;
		if (this.#faults.draining) {
			this.counters.receivedDraining += 1;
			this.counters.latestReceivedDrainingMs = performance.now() - this.#drainingSinceMs;
		}
	}

	#setFrozen(frozen: boolean): void {
		if (frozen) {
			this.#pool.pause();
			this.#gate.freeze();
		} else {
			this.#pool.resume();
			this.#gate.thaw();
		}
	}
}

async function delayIfAny(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await delay(durationMs);
	}
}
