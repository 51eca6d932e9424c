/** Sends a job's arrivals when they are due and counts the outcomes of the calls. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandomSource} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol';
import {Agent} from 'undici';
import {entryZoneHeader, serviceMsHeader} from '../stand-ins/upstream-headers.js';
import {requestIdHeader} from '../stand-ins/run-counter.js';
import {generateArrivals, type Arrival} from './arrivals.js';
import {LatencyHistogram} from './latency-histogram.js';
import type {
	ClassCounts, LoadClass, LoadJob, LoadReport, LoadTarget,
} from './load-job.js';

const tickMs = 1;
const success = 200;
const tenants = 20;

type CallOutcome = 'good' | 'failed' | 'notRun' | 'unknown' | 'cut';

class ClassRecorder {
	readonly counts: ClassCounts = {
		sent: 0, answered: 0, good: 0, failed: 0, notRun: 0, unknown: 0, cut: 0,
	};

	readonly latency = new LatencyHistogram();

	record(outcome: CallOutcome, latencyMs: number, deadlineMs: number): void {
		this.counts.sent += 1;
		if (outcome !== 'good') {
			this.counts[outcome] += 1;
			return;
		}

		this.counts.answered += 1;
		this.counts.good += latencyMs <= deadlineMs ? 1 : 0;
		this.latency.record(latencyMs);
	}
}

export class LoadRun {
	readonly #job: LoadJob;
	readonly #agent = new Agent({pipelining: 1, keepAliveTimeout: 30_000});
	readonly #recorders = new Map<string, ClassRecorder>();
	readonly #lag = new LatencyHistogram();
	readonly #pending = new Set<Promise<void>>();
	#startMs = 0;

	constructor(job: LoadJob) {
		this.#job = job;
		for (const {id} of job.classes) {
			this.#recorders.set(id, new ClassRecorder());
		}
	}

	async run(): Promise<LoadReport> {
		this.#startMs = performance.now();
		const cpuBefore = process.cpuUsage();
		await this.#sendAll();
		const cpu = process.cpuUsage(cpuBefore);
		const elapsedMs = performance.now() - this.#startMs;
		await Promise.all(this.#pending);
		await this.#agent.destroy();
		return {
			classes: [...this.#recorders].map(([id, {counts, latency}]) => ({id, ...counts, latency: latency.encode()})),
			lag: this.#lag.encode(),
			cpuRatio: (cpu.user + cpu.system) / 1000 / elapsedMs,
		};
	}

	async #sendAll(): Promise<void> {
		for (const arrival of generateArrivals(this.#job)) {
			while (this.#elapsedMs() < arrival.dueMs) {
				await delay(tickMs);
			}

			if (arrival.dueMs >= this.#job.warmUpMs) {
				this.#lag.record(this.#elapsedMs() - arrival.dueMs);
			}

			const pending = this.#send(arrival);
			this.#pending.add(pending);
			void pending.finally(() => this.#pending.delete(pending)); // eslint-disable-line promise/prefer-await-to-then -- sending must not wait for earlier calls
		}
	}

	async #send(arrival: Arrival): Promise<void> {
		const {callClass, dueMs} = arrival;
		const outcome = await this.#call(arrival);
		if (dueMs >= this.#job.warmUpMs) {
			this.#recorders.get(callClass.id)!.record(outcome, this.#elapsedMs() - dueMs, callClass.deadlineMs);
		}
	}

	async #call(arrival: Arrival): Promise<CallOutcome> {
		const {callClass, serviceMs, caller, dueMs} = arrival;
		const target = this.#targetOf(caller, dueMs);
		try {
			const {statusCode, headers, body} = await this.#agent.request({
				origin: `http://${target.address}`,
				path: `/${callClass.service}${callClass.path}`,
				method: callClass.method,
				headers: {
					[serviceMsHeader]: serviceMs.toFixed(1),
					[entryZoneHeader]: target.availabilityZone,
					[requestIdHeader]: `${this.#job.seed}-${dueMs}`,
					[headerNames.tenant]: `tenant-${caller % tenants}`,
				},
				body: bodyOf(callClass),
			});
			await body.dump();
			return outcomeOf(statusCode, headers[headerNames.outcome]);
		} catch {
			return 'cut';
		}
	}

	/** Picks the instance that a caller uses during the current period, from a seed, so that the choice is the same for every policy. */
	#targetOf(caller: number, dueMs: number): LoadTarget {
		const {seed, keepAddressMs, targets} = this.#job;
		const period = Math.floor((dueMs / keepAddressMs) + (caller / this.#job.callers));
		const random = createRandomSource((seed * 1_000_003) + (caller * 1009) + period);
		random.next();
		return targets[random.nextInteger(targets.length)]!;
	}

	#elapsedMs(): number {
		return performance.now() - this.#startMs;
	}
}

function bodyOf(callClass: LoadClass): string | undefined {
	return callClass.method === 'POST' ? '{"amountCents":100}' : undefined;
}

function outcomeOf(statusCode: number, outcome: unknown): CallOutcome {
	if (outcome === 'not-run') {
		return 'notRun';
	}

	if (outcome === 'unknown') {
		return 'unknown';
	}

	return statusCode === success ? 'good' : 'failed';
}
