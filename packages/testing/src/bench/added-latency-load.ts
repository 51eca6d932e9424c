/** Calls one path of one origin with undici, at a fixed rate or as fast as possible. */
import process from 'node:process';
import {createRandomSource} from '@cairnbank/core';
import {Pool} from 'undici';
import {LatencyHistogram} from './latency-histogram.js';
import type {AddedLatencyJob, AddedLatencyReport} from './added-latency-job.js';

const fixedRateConnections = 128;
const success = 200;

export class AddedLatencyLoad {
	readonly #job: AddedLatencyJob;
	readonly #pool: Pool;
	readonly #latency = new LatencyHistogram();
	readonly #endMs: number;
	#startMs = 0;
	#failed = 0;

	constructor(job: AddedLatencyJob) {
		this.#job = job;
		this.#endMs = job.warmUpMs + job.measuredMs;
		this.#pool = new Pool(job.origin, {connections: job.type === 'highest-rate' ? job.inFlight : fixedRateConnections, pipelining: 1});
	}

	async run(): Promise<AddedLatencyReport> {
		const cpuBefore = process.cpuUsage();
		this.#startMs = performance.now();
		await this.#send();
		const cpu = process.cpuUsage(cpuBefore);
		const elapsedMs = this.#elapsedMs();
		await this.#pool.destroy();
		return {
			answered: this.#latency.count,
			failed: this.#failed,
			callsPerSecond: this.#latency.count / this.#job.measuredMs * 1000,
			p50Ms: this.#latency.percentileMs(50),
			p99Ms: this.#latency.percentileMs(99),
			cpuRatio: (cpu.user + cpu.system) / 1000 / elapsedMs,
		};
	}

	async #send(): Promise<void> {
		switch (this.#job.type) {
			case 'highest-rate': {
				await Promise.all(Array.from({length: this.#job.inFlight}, async () => this.#keepSending()));
				return;
			}

			case 'fixed-rate': {
				await this.#sendAtRate(this.#job.callsPerSecond, this.#job.seed);
			}
		}
	}

	async #keepSending(): Promise<void> {
		while (this.#elapsedMs() < this.#endMs) {
			await this.#call(this.#elapsedMs());
		}
	}

	async #sendAtRate(callsPerSecond: number, seed: number): Promise<void> {
		const random = createRandomSource(seed);
		const pending: Array<Promise<void>> = [];
		for (let dueMs = 0; dueMs < this.#endMs; dueMs -= Math.log(1 - random.next()) * 1000 / callsPerSecond) {
			while (this.#elapsedMs() < dueMs) {
				// Uses `setImmediate` because a timer's resolution of one millisecond would hide the latency being measured.
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			pending.push(this.#call(dueMs));
		}

		await Promise.all(pending);
	}

	/** Sends one call and records its latency from the moment it was due. */
	async #call(dueMs: number): Promise<void> {
		const {statusCode, body} = await this.#pool.request({path: this.#job.path, method: 'GET'});
		await body.dump();
		if (dueMs < this.#job.warmUpMs) {
			return;
		}

		if (statusCode === success) {
			this.#latency.record(this.#elapsedMs() - dueMs);
		} else {
			this.#failed += 1;
		}
	}

	#elapsedMs(): number {
		return performance.now() - this.#startMs;
	}
}
