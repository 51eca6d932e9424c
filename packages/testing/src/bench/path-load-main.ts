/** Load process of the added-latency bench: one origin, one path, by undici; its report as the only line. */
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {createRandomSource} from '@cairnbank/core';
import {Pool} from 'undici';
import {LatencyHistogram} from './latency-histogram.js';
import type {PathJob, PathReport} from './path-job.js';

const job = await json(process.stdin) as PathJob;
const pool = new Pool(job.origin, {connections: job.type === 'highest-rate' ? job.inFlight : 128, pipelining: 1});
const latency = new LatencyHistogram();
const startMs = performance.now();
const endMs = job.warmUpMs + job.measuredMs;
let failed = 0;

async function call(dueMs: number): Promise<void> {
	const {statusCode, body} = await pool.request({path: job.path, method: 'GET'});
	await body.dump();
	if (dueMs < job.warmUpMs) {
		return;
	}

	if (statusCode === 200) {
		latency.record(performance.now() - startMs - dueMs);
	} else {
		failed += 1;
	}
}

async function keepSending(): Promise<void> {
	for (let nowMs = 0; nowMs < endMs; nowMs = performance.now() - startMs) {
		await call(nowMs);
	}
}

async function sendAtRate(callsPerSecond: number, seed: number): Promise<void> {
	const random = createRandomSource(seed);
	const pending: Array<Promise<void>> = [];
	for (let dueMs = 0; dueMs < endMs; dueMs -= Math.log(1 - random.next()) * 1000 / callsPerSecond) {
		while (performance.now() - startMs < dueMs) {
			// Immediate and not a timer: a timer's millisecond would hide what is measured.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		pending.push(call(dueMs));
	}

	await Promise.all(pending);
}

const cpuBefore = process.cpuUsage();
await (job.type === 'highest-rate' ? Promise.all(Array.from({length: job.inFlight}, async () => keepSending())) : sendAtRate(job.callsPerSecond, job.seed));

const cpu = process.cpuUsage(cpuBefore);
const report: PathReport = {
	answered: latency.count,
	failed,
	callsPerSecond: latency.count / job.measuredMs * 1000,
	p50Ms: latency.percentileMs(50),
	p99Ms: latency.percentileMs(99),
	cpuRatio: (cpu.user + cpu.system) / 1000 / (performance.now() - startMs),
};
console.log(JSON.stringify({report}));
await pool.destroy();
