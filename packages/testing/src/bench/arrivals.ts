/** Generates open-loop arrivals from a seed. They are the same for every policy and don't depend on earlier calls. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {LoadClass, LoadJob} from './load-job.js';
import type {RateStep} from './scenario.js';

export type Arrival = {
	/** Time since the start of the job. */
	readonly dueMs: number;
	readonly callClass: LoadClass;
	readonly serviceMs: number;
	readonly caller: number;
};

/** Constant share of the mean service time; the rest is exponentially distributed. */
const fixedShare = 0.8;

function exponential(random: RandomSource, mean: number): number {
	return -mean * Math.log(1 - random.next());
}

/** Returns the rate factor at a position in the measured time, from 0 to 1. */
export function rateFactorAt(steps: readonly RateStep[], position: number): number {
	return steps.findLast(step => step.at <= position)?.factor ?? 1;
}

function pickClass(classes: readonly LoadClass[], total: number, random: RandomSource): LoadClass {
	let rest = random.next() * total;
	return classes.find(one => {
		rest -= one.callsPerSecond;
		return rest <= 0;
	}) ?? classes.at(-1)!;
}

/** Yields the job's arrivals in the order of their times. */
export function * generateArrivals(job: LoadJob): Generator<Arrival> {
	const random = createRandomSource(job.seed);
	const total = job.classes.reduce((sum, one) => sum + one.callsPerSecond, 0);
	const endMs = job.warmUpMs + job.measuredMs;
	let dueMs = 0;
	while (dueMs < endMs) {
		const factor = rateFactorAt(job.rate, (dueMs - job.warmUpMs) / job.measuredMs);
		dueMs += exponential(random, 1000 / (total * factor));
		yield {
			dueMs,
			callClass: pickClass(job.classes, total, random),
			serviceMs: job.serviceMs * (fixedShare + exponential(random, 1 - fixedShare)),
			caller: random.nextInteger(job.callers),
		};
	}
}
