/** Generates the schedule of a run from a seed. The same seed gives the same schedule. */
import {readFileSync} from 'node:fs';
import type {RandomSource} from '@cairnbank/core';
import type {LinkCut} from '@cairnbank/platform/spec-support/linked-site';
import type {StoreFault} from '@cairnbank/platform/spec-support/store-stand-in';
import type {Spoiling} from '@cairnbank/platform/spec-support/spoiled-bytes';
import type {UpstreamBehaviour} from '@cairnbank/platform/spec-support/upstream-stand-in';
import type {LinkFault} from '@cairnbank/platform/spec-support/link-proxy';
import {
	drawsLongRequests, generateCrowds, generateFurtherEvents, generateSpoilings, pick, randomSourceOf,
} from './further-events.js';
import type {CallerLinkPlan} from './caller-links.js';
import type {FleetCallerPlan} from './fleet-callers.js';
import type {CrowdManner} from './misbehaving-crowd.js';
import {generateStops} from './stop-events.js';
import type {StopCallerPlan} from './stop-callers.js';

/** Instances and upstreams are given by their index in the order in which they were started. */
export type SoakEvent =
	| {readonly type: 'stop'; readonly instance: number}
	/** The instance gets SIGTERM, and perhaps further signals until it ends, while callers keep using connections to it. */
	| {
		readonly type: 'stop-in-use';
		readonly instance: number;
		readonly callers: readonly StopCallerPlan[];
		/** Time from the start of the callers to SIGTERM. */
		readonly signalMs: number;
		readonly furtherSignals: readonly FurtherSignal[];
	}
	/** The instances get SIGTERM at the same time, SIGKILL after their grace period, and start again at the same addresses. */
	| {readonly type: 'planned-stop'; readonly instances: readonly number[]; readonly furtherSignals: readonly FurtherSignal[]}
	| {readonly type: 'kill'; readonly instance: number}
	| {readonly type: 'pause'; readonly instance: number; readonly forMs: number}
	| {readonly type: 'reload'; readonly instance: number}
	/** Callers that do not behave connect to the instance, send, and keep their connections for `forMs`, whatever happens to it. */
	| {readonly type: 'crowd'; readonly instance: number; readonly manner: CrowdManner; readonly callers: number; readonly forMs: number}
	| {readonly type: 'configure'}
	| {readonly type: 'drain'; readonly upstream: number}
	/** The upstream says in its answers at once that it is leaving, and in its registry entry some time later. */
	| {readonly type: 'leave'; readonly upstream: number; readonly entryAfterMs: number}
	/** The upstream rejects requests for `forMs` and asks each instance to back off for `seconds`. */
	| {readonly type: 'back-off'; readonly upstream: number; readonly seconds: number; readonly forMs: number}
	| {readonly type: 'misbehave'; readonly upstream: number; readonly behaviour: UpstreamBehaviour; readonly forMs: number}
	| {readonly type: 'limit'; readonly upstream: number; readonly requestsPerSecond: number; readonly forMs: number}
	| {readonly type: 'link'; readonly upstream: number; readonly fault: LinkFault; readonly forMs: number}
	| {readonly type: 'store'; readonly instance: number; readonly fault: StoreFault; readonly forMs: number}
	| {readonly type: 'restore'}
	/** Instances lose their links to all upstreams. */
	| {readonly type: 'cut'; readonly instances: readonly number[]; readonly cut: LinkCut; readonly forMs: number}
	/** A caller sends one request that crashes each upstream that runs it to one instance after the other. */
	| {readonly type: 'crash'; readonly request: number; readonly forMs: number}
	/** Client accounts are introduced, and one of their keys is taken away while callers use it. */
	| {readonly type: 'remove-key'; readonly forMs: number}
	/** Requests of one account with a rate limit come by all instances, many more than it allows; those of another stay below its limit. */
	| {readonly type: 'flood-account'; readonly forMs: number}
	/** A lower limit of the flooded account is published. */
	| {readonly type: 'lower-limit'}
	/** The upstream spoils one in `oneIn` of its answers. */
	| {readonly type: 'spoil'; readonly upstream: number; readonly spoiling: Spoiling; readonly oneIn: number; readonly forMs: number}
	/** All upstreams misbehave in the same way. */
	| {readonly type: 'outage'; readonly behaviour: UpstreamBehaviour; readonly forMs: number}
	/** Many instances are killed at the same time and start again. */
	| {readonly type: 'herd'; readonly instances: readonly number[]};

/** A signal to an instance that already got SIGTERM. */
export type FurtherSignal = {readonly signal: 'SIGTERM' | 'SIGHUP'; readonly afterMs: number};

export type ScheduledEvent = {readonly atMs: number; readonly event: SoakEvent};

export type RequestBursts = {readonly requests: number; readonly pauseMs: number};

export type Schedule = {
	readonly seed: number;
	readonly instances: number;
	readonly upstreams: number;
	readonly callers: number;
	/** Each caller sends this many requests one after the other and then pauses. If absent, it sends requests all the time. */
	readonly bursts?: RequestBursts;
	/** If given, callers start and these events happen as soon as the first instance is ready, instead of once all instances know each other. */
	readonly duringStart?: readonly SoakEvent[];
	/** True if one more caller sends requests that take up to seconds; false if absent. */
	readonly hasLongRequests?: boolean;
	/** Callers that follow addresses by their time to live, in addition to the others; none if absent. */
	readonly fleetCallers?: readonly FleetCallerPlan[];
	/** Links through which fleet callers reach instances; none if absent. */
	readonly callerLinks?: CallerLinkPlan;
	/** Time that instances have to stop, in seconds; 2 if absent. */
	readonly graceSeconds?: number;
	/** Processing time of each request at an upstream that states none itself. */
	readonly workMs: number;
	readonly durationMs: number;
	readonly events: readonly ScheduledEvent[];
};

export type ScheduleBounds = {
	/** Random if absent. */
	readonly instances?: number;
	readonly durationMs?: number;
};

const defaultDurationMs = 10_000;
/** Mean time between two events. As faults last 0.3 to 3 s, several overlap at a time. */
const meanPauseMs = 350;
const fleetInstances = 19;
const fleetDurationMs = 60_000;
const fleetUpstreams = 12;
const callersPerInstance = 1;
/** Few requests per window, so that most of the retry budget is its slack, but enough at a time to use all of it. */
const fleetBursts: RequestBursts = {requests: 12, pauseMs: 9000};
const fleetPauseMs = 3000;
const outageEveryMs = 20_000;
/** About as long as the instances of a fleet take to start one after the other. */
const startOutageMs = 12_000;
const outageBehaviours: readonly UpstreamBehaviour[] = ['sheds', 'fails', 'unsigned', 'loses-answer'];
const behaviours: readonly UpstreamBehaviour[] = [
	'sheds', 'hangs', 'loses-answer', 'fails', 'is-another', 'cuts-answer', 'cuts-unframed-answer', 'answers-twice', 'answers-another', 'unsigned',
];
const linkFaults: readonly LinkFault[] = [{type: 'delay', delayMs: 60}, {type: 'silent'}, {type: 'answers-silent'}, {type: 'reset'}];
const storeFaults: readonly StoreFault[] = [
	{type: 'silent'}, {type: 'busy', status: 503}, {type: 'busy', status: 429}, {type: 'reset'}, {type: 'slow', delayMs: 200}, {type: 'lost-answers'},
];

export function generateSchedule(seed: number, {instances: givenInstances, durationMs = defaultDurationMs}: ScheduleBounds = {}): Schedule {
	const random = randomSourceOf(seed);
	const instances = givenInstances ?? 3 + random.nextInteger(5);
	const upstreams = 5 + random.nextInteger(6);
	const events: ScheduledEvent[] = [];
	for (let atMs = drawPauseMs(random); atMs < durationMs; atMs += drawPauseMs(random)) {
		events.push({atMs, event: generateEvent(random, instances, upstreams)});
	}

	events.push(
		...generateFurtherEvents(seed, durationMs, instances),
		...generateSpoilings(seed, durationMs, upstreams),
		...generateStops(seed, durationMs, instances),
		...generateCrowds(seed, durationMs, instances),
	);
	return {
		seed,
		instances,
		upstreams,
		hasLongRequests: drawsLongRequests(seed),
		callers: 6 + random.nextInteger(10),
		workMs: 5 + random.nextInteger(40),
		durationMs,
		events: events.toSorted((left, right) => left.atMs - right.atMs),
	};
}

/**
 * Generates a schedule for a fleet with outages of all upstreams and few requests per instance, so that what each instance may
 * send depends on what the instances share with each other. Meanwhile instances stop, fail and restart, singly and many at once.
 */
export function generateFleetSchedule(seed: number, {instances = fleetInstances, durationMs = fleetDurationMs}: ScheduleBounds = {}): Schedule {
	const random = randomSourceOf(seed);
	const events: ScheduledEvent[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += outageEveryMs) {
		const event: SoakEvent = {type: 'outage', behaviour: pick(random, outageBehaviours), forMs: 4000 + random.nextInteger(8000)};
		events.push({atMs: atMs + random.nextInteger(4000), event});
	}

	for (let atMs = drawPauseMs(random, fleetPauseMs); atMs < durationMs; atMs += drawPauseMs(random, fleetPauseMs)) {
		events.push({atMs, event: generateFleetEvent(random, instances)});
	}

	return {
		seed,
		instances,
		upstreams: fleetUpstreams,
		callers: callersPerInstance * instances,
		bursts: fleetBursts,
		duringStart: random.next() < 0.5 ? [{type: 'outage', behaviour: pick(random, outageBehaviours), forMs: startOutageMs}] : [],
		workMs: 5 + random.nextInteger(40),
		durationMs,
		events: events.toSorted((left, right) => left.atMs - right.atMs),
	};
}

/** What planned stops of a fleet have in addition. */
export type FleetSetting = Pick<Schedule, 'fleetCallers' | 'callerLinks' | 'graceSeconds'>;

/** Returns the schedule for an intentionally broken build. */
export function mutationSchedule({events, hasLongRequests = false, fleet = {}}: Pick<Schedule, 'events' | 'hasLongRequests'> & {readonly fleet?: FleetSetting}): Schedule {
	return {
		...fleet, hasLongRequests, seed: 1, instances: 3, upstreams: 5, callers: 10, workMs: 10, durationMs: defaultDurationMs, events,
	};
}

/** Reads a schedule from a file that contains the schedule alone, or the saved findings of a run. */
export function readSchedule(path: string): Schedule {
	const parsed = JSON.parse(readFileSync(path, 'utf8')) as Schedule | {readonly schedule: Schedule};
	return 'schedule' in parsed ? parsed.schedule : parsed;
}

function drawPauseMs(random: RandomSource, meanMs = meanPauseMs): number {
	return Math.round(-Math.log(1 - random.next()) * meanMs);
}

function generateFleetEvent(random: RandomSource, instances: number): SoakEvent {
	const instance = random.nextInteger(instances);
	const half = Array.from({length: instances}, (_, index) => index).filter(() => random.next() < 0.5);
	const candidates: ReadonlyArray<() => SoakEvent> = [
		() => ({type: 'herd', instances: half}),
		() => ({type: 'kill', instance}),
		() => ({type: 'stop', instance}),
		() => ({type: 'pause', instance, forMs: 300 + random.nextInteger(2700)}),
		() => ({type: 'reload', instance}),
		() => ({type: 'configure'}),
		() => ({type: 'restore'}),
	];
	return pick(random, candidates)();
}

/** Generates a random event. The first two upstreams neither drain nor misbehave, so that one can always serve. */
function generateEvent(random: RandomSource, instances: number, upstreams: number): SoakEvent {
	const instance = random.nextInteger(instances);
	const upstream = 2 + random.nextInteger(upstreams - 2);
	const forMs = 300 + random.nextInteger(2700);
	const candidates: ReadonlyArray<() => SoakEvent> = [
		() => ({type: 'stop', instance}),
		() => ({type: 'kill', instance}),
		() => ({type: 'pause', instance, forMs}),
		() => ({type: 'reload', instance}),
		() => ({type: 'configure'}),
		() => ({type: 'drain', upstream}),
		() => ({type: 'leave', upstream, entryAfterMs: 2 * forMs}),
		() => ({
			type: 'back-off', upstream, seconds: 1 + random.nextInteger(5), forMs,
		}),
		() => ({
			type: 'misbehave', upstream, behaviour: pick(random, behaviours), forMs,
		}),
		() => ({
			type: 'limit', upstream, requestsPerSecond: 1 + random.nextInteger(5), forMs: forMs + 5000,
		}),
		() => ({
			type: 'link', upstream, fault: pick(random, linkFaults), forMs,
		}),
		() => ({
			type: 'store', instance, fault: pick(random, storeFaults), forMs,
		}),
		() => ({type: 'restore'}),
	];
	return pick(random, candidates)();
}
