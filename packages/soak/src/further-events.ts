/** Generates events of kinds that each use a random source of their own, so that the other events of a seed stay the same. */
import {createRandomSource} from '@cairnbank/core/random';
import type {RandomSource} from '@cairnbank/core';
import type {LinkCut} from '@cairnbank/platform/spec-support/linked-site';
import type {Spoiling} from '@cairnbank/platform/spec-support/spoiled-bytes';
import {requestOfLeavingCallers, requestThatFails} from './crashing-upstreams.js';
import {crowdManners} from './misbehaving-crowd.js';
import type {ScheduledEvent} from './schedule.js';

/** Spreads consecutive seeds, which would otherwise give similar first random numbers. */
const seedMultiplier = 0x9E_37_79_B1;
const crashSeedOffset = 100_000;
const cutSeedOffset = 200_000;
const removalSeedOffset = 300_000;
const floodSeedOffset = 400_000;
const spoilingSeedOffset = 500_000;
const longRequestsSeedOffset = 600_000;
const crowdSeedOffset = 900_000;
const crowdEvents = 3;
const fewestCallers = 5;
const additionalCallers = 40;
const spoilings: readonly Spoiling[] = ['head', 'behind', 'later'];
const spoilingEvents = 4;
const removalMs = 9000;
/** Long enough for windows that lie wholly after the lower limit is in force. */
const floodMs = 14_000;
const floodBeforeLowerLimitMs = 3000;
const crashMs = 2000;
const linkCuts: readonly LinkCut[] = [
	{open: 'silent', opening: 'hang'}, {open: 'reset', opening: 'refused'}, {open: 'reset', opening: 'hang'}, {open: 'live', opening: 'refused'},
];

export function generateFurtherEvents(seed: number, durationMs: number, instances: number): readonly ScheduledEvent[] {
	return [...generateCrashes(seed, durationMs), generateCut(seed, durationMs, instances), generateRemoval(seed, durationMs), ...generateFlood(seed, durationMs)];
}

/** Spoils answers of all but the first two upstreams, as no other event reaches those. */
export function generateSpoilings(seed: number, durationMs: number, upstreams: number): ScheduledEvent[] {
	const random = randomSourceOf(seed + spoilingSeedOffset);
	return Array.from({length: spoilingEvents}, () => ({
		atMs: random.nextInteger(durationMs),
		event: {
			type: 'spoil', upstream: 2 + random.nextInteger(upstreams - 2), spoiling: pick(random, spoilings), oneIn: 2 + random.nextInteger(10), forMs: 500 + random.nextInteger(4000),
		},
	}));
}

/** Generates crowds of callers that do not behave. */
export function generateCrowds(seed: number, durationMs: number, instances: number): ScheduledEvent[] {
	const random = randomSourceOf(seed + crowdSeedOffset);
	return Array.from({length: crowdEvents}, () => ({
		atMs: random.nextInteger(durationMs),
		event: {
			type: 'crowd', instance: random.nextInteger(instances), manner: pick(random, crowdManners),
			callers: fewestCallers + random.nextInteger(additionalCallers), forMs: 500 + random.nextInteger(4000),
		},
	}));
}

/** @returns whether a schedule has requests that take up to seconds, as half of them do */
export function drawsLongRequests(seed: number): boolean {
	return randomSourceOf(seed + longRequestsSeedOffset).next() < 0.5;
}

export function randomSourceOf(seed: number): RandomSource {
	return createRandomSource(Math.imul(seed, seedMultiplier));
}

export function pick<Value>(random: RandomSource, values: readonly Value[]): Value {
	return values[random.nextInteger(values.length)]!;
}

function generateCrashes(seed: number, durationMs: number): ScheduledEvent[] {
	const random = randomSourceOf(seed + crashSeedOffset);
	const crash = (request: number, atMs: number, untilMs: number): ScheduledEvent => ({atMs, event: {type: 'crash', request, forMs: untilMs - atMs}});
	const firstMs = random.nextInteger(durationMs / 4);
	const secondMs = random.nextInteger(durationMs / 2);
	return [
		crash(0, firstMs, firstMs + crashMs),
		// Comes again when instances that were started or paused meanwhile have been back for long.
		crash(0, durationMs + crashMs, durationMs + (3 * crashMs)),
		crash(requestOfLeavingCallers, secondMs, durationMs),
		crash(requestThatFails, secondMs, durationMs),
	];
}

/** Cuts off some instances, but not all, for long enough to check how callers are served there. */
function generateCut(seed: number, durationMs: number, instances: number): ScheduledEvent {
	const random = randomSourceOf(seed + cutSeedOffset);
	const count = 1 + random.nextInteger(instances - 1);
	const first = random.nextInteger(instances);
	return {
		atMs: random.nextInteger(Math.max(1, durationMs - 4000)),
		event: {
			type: 'cut', cut: pick(random, linkCuts), forMs: 4500 + random.nextInteger(2500),
			instances: Array.from({length: count}, (_, index) => (first + index) % instances),
		},
	};
}

/** Generates the removal of a key that callers use. */
function generateRemoval(seed: number, durationMs: number): ScheduledEvent {
	const random = randomSourceOf(seed + removalSeedOffset);
	return {atMs: random.nextInteger(durationMs / 2), event: {type: 'remove-key', forMs: removalMs}};
}

/** Generates a flood of one account, and a lower limit of it while that lasts. */
function generateFlood(seed: number, durationMs: number): ScheduledEvent[] {
	const random = randomSourceOf(seed + floodSeedOffset);
	const atMs = random.nextInteger(durationMs / 5);
	return [
		{atMs, event: {type: 'flood-account', forMs: floodMs}},
		{atMs: atMs + floodBeforeLowerLimitMs + random.nextInteger(1000), event: {type: 'lower-limit'}},
	];
}
