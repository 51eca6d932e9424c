/** Generates schedules of planned work alone: all instances of a fleet stop, one after the other or several at once, beside changes of the configuration. */
import type {RandomSource} from '@cairnbank/core';
import type {FleetCallerPlan} from './fleet-callers.js';
import {pick, randomSourceOf} from './further-events.js';
import type {
	FurtherSignal, Schedule, ScheduleBounds, ScheduledEvent,
} from './schedule.js';

const plannedStopsSeedOffset = 900_000;
const usualInstances = 6;
const graceSeconds = 6;
/** The first upstreams of a site never drain; planned stops need enough of them that none is full. */
const upstreamsPerInstance = 1;
const fewestUpstreams = 6;
const callersPerInstance = 6;
const firstStopMs = 1000;
const longestPauseMs = 3000;
const shortDeadlineMs = 1500;
const longestLinkDelayMs = 100;
const linkBuffers = [16_384, 65_536, 262_144] as const;
const longDeadlineMs = 8000;
const meanPauseMs = 300;
const longestKeptAddresses = 3;
const signals: ReadonlyArray<FurtherSignal['signal']> = ['SIGTERM', 'SIGHUP'];
const connections: ReadonlyArray<FleetCallerPlan['connections']> = ['kept', 'kept', 'new', 'ahead'];

/** @param bounds - `durationMs` does not count: the schedule ends once all instances have stopped and started again */
export function generatePlannedStops(seed: number, {instances = usualInstances}: ScheduleBounds = {}): Schedule {
	const random = randomSourceOf(seed + plannedStopsSeedOffset);
	const events: ScheduledEvent[] = [];
	let atMs = firstStopMs;
	for (let first = 0; first < instances;) {
		const together = Math.min(instances - first, pick(random, [1, 1, 1 + random.nextInteger(Math.ceil(instances / 2))]));
		const stopping = Array.from({length: together}, (_, index) => first + index);
		events.push(
			{atMs, event: {type: 'planned-stop', instances: stopping, furtherSignals: generateSignals(random)}},
			{atMs: atMs + random.nextInteger(longestPauseMs), event: random.next() < 0.5 ? {type: 'configure'} : {type: 'reload', instance: random.nextInteger(instances)}},
		);
		first += together;
		atMs += random.nextInteger(longestPauseMs);
	}

	return {
		seed,
		instances,
		upstreams: Math.max(fewestUpstreams, upstreamsPerInstance * instances),
		callers: 1,
		fleetCallers: Array.from({length: callersPerInstance * instances}, () => generateCaller(random)),
		...generateLinks(random),
		graceSeconds,
		workMs: 20,
		durationMs: atMs + (graceSeconds * 1000),
		events: events.toSorted((left, right) => left.atMs - right.atMs),
	};
}

/** Half of the schedules have links; those of half of them end with the process of their instance. */
function generateLinks(random: RandomSource): Pick<Schedule, 'callerLinks'> {
	const callerLinks = {
		delayMs: 3 + random.nextInteger(longestLinkDelayMs), bufferBytes: pick(random, linkBuffers), holdsUntilHalf: random.next() < 0.3, endsWithProcess: random.next() < 0.5,
	};
	return random.next() < 0.5 ? {callerLinks} : {};
}

function generateSignals(random: RandomSource): FurtherSignal[] {
	return Array.from({length: random.nextInteger(3)}, () => ({signal: pick(random, signals), afterMs: random.nextInteger(graceSeconds * 500)}));
}

function generateCaller(random: RandomSource): FleetCallerPlan {
	const kind = pick(random, connections);
	return {
		connections: kind,
		method: kind === 'ahead' ? 'GET' : pick(random, ['GET', 'POST']),
		keepsAddresses: pick(random, [1, 1, longestKeptAddresses]),
		deadlineMs: pick(random, [shortDeadlineMs, longDeadlineMs]),
		pauseMs: meanPauseMs,
	};
}
