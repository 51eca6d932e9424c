/** Generates stops of instances that callers keep using. Like the further events, they have a random source of their own. */
import type {RandomSource} from '@cairnbank/core';
import {pick, randomSourceOf} from './further-events.js';
import type {FurtherSignal, ScheduledEvent, SoakEvent} from './schedule.js';
import type {StopCallerPlan} from './stop-callers.js';

const stopsSeedOffset = 700_000;
const paddingSeedOffset = 800_000;
const minimumStops = 3;
const additionalStops = 2;
const longestPauseMs = 2500;
const longestBeforeSignalMs = 600;
/** Time after the signal in which instances still take connections. */
const acceptingMs = 1200;
const callersPerStop = 4;
const paces: ReadonlyArray<StopCallerPlan['pace']> = ['ahead', 'ahead', 'reads-slowly', 'one-at-a-time'];
const signals: ReadonlyArray<FurtherSignal['signal']> = ['SIGTERM', 'SIGHUP'];
/** An instance runs 8 requests of a connection at once and keeps 56 more. */
const fewestAhead = 9;
const mostAhead = 64;
const mostAheadOfSlowReader = 32;
/** Longer than a grace period, so that upstreams do not answer before its end. */
const unansweredWorkMs = 5000;
const longestWorkMs = 1500;
/** Of the answers to requests that are sent in one write. A slow reader leaves more unread than the system takes for it. */
const paddingBytes: Readonly<Record<StopCallerPlan['pace'], number>> = {'one-at-a-time': 540_000, ahead: 540_000, 'reads-slowly': 6_000_000};

/** Generates a series of stops that overlap each other, and changes beside them. */
export function generateStops(seed: number, durationMs: number, instances: number): ScheduledEvent[] {
	const random = randomSourceOf(seed + stopsSeedOffset);
	const paddingRandom = randomSourceOf(seed + paddingSeedOffset);
	const events: ScheduledEvent[] = [];
	const first = random.nextInteger(instances);
	const count = minimumStops + random.nextInteger(additionalStops);
	let atMs = random.nextInteger(durationMs / 2);
	for (let index = 0; index < count; index++) {
		events.push(
			{atMs, event: generateStop(random, paddingRandom, (first + index) % instances)},
			{atMs: atMs + random.nextInteger(longestPauseMs), event: random.next() < 0.5 ? {type: 'configure'} : {type: 'reload', instance: (first + index + 1) % instances}},
		);
		atMs += random.nextInteger(longestPauseMs);
	}

	return events;
}

function generateStop(random: RandomSource, paddingRandom: RandomSource, instance: number): SoakEvent {
	const signalMs = 100 + random.nextInteger(longestBeforeSignalMs);
	return {
		type: 'stop-in-use',
		instance,
		signalMs,
		callers: Array.from({length: callersPerStop}, () => generateCaller(random, paddingRandom, signalMs)),
		furtherSignals: Array.from({length: random.nextInteger(3)}, () => ({signal: pick(random, signals), afterMs: random.nextInteger(2 * acceptingMs)})),
	};
}

function generateCaller(random: RandomSource, paddingRandom: RandomSource, signalMs: number): StopCallerPlan {
	const pace = pick(random, paces);
	const startMs = random.next() < 0.7 ? random.nextInteger(signalMs) : signalMs + random.nextInteger(acceptingMs);
	const mostRequests = pace === 'ahead' ? mostAhead : mostAheadOfSlowReader;
	const requestsAhead = pace === 'one-at-a-time' ? 1 : fewestAhead + random.nextInteger(mostRequests + 1 - fewestAhead);
	return {
		pace,
		startMs,
		requestsAhead,
		method: pick(random, ['GET', 'POST']),
		workMs: pick(random, [0, 0, 100 + random.nextInteger(longestWorkMs), unansweredWorkMs, unansweredWorkMs]),
		paddingBytes: paddingRandom.next() < 0.5 ? Math.floor(paddingRandom.next() * paddingBytes[pace] / requestsAhead) : 0,
	};
}
