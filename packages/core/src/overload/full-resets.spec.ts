import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {FullResets} from './full-resets.js';

const service = 'desk' as ServiceId;
const upstreamCount = 20;
const instanceCount = 110;
const slots = 6;
/** Looks for a place, some milliseconds apart, which the play leaves out. */
const maximumLooks = 5;
const queueLength = 2;
const workMs = 300;
const simulatedMs = 60_000;
/** Share of the requests that may run more than once; their resets teach as well. */
const idempotentShare = 3 / 4;

/** Of the requests that may run only once. */
type Result = {readonly asked: number; readonly reset: number; readonly served: number};

/**
 * Plays a rush. Each instance sees some five requests a second, and sends each to the best of four upstreams by reports of which a third
 * are old, as health checks may stay unanswered in a rush.
 */
function play(load: number, isCareful: boolean): Result {
	const clock = new ManualClock();
	const random = createRandomSource(11);
	const endsAtMs = Array.from({length: upstreamCount}, (): number[] => []);
	const reports = Array.from({length: upstreamCount}, () => ({running: 0, atMs: 0}));
	const instances = Array.from({length: instanceCount}, () => new FullResets(clock));
	const result = {asked: 0, reset: 0, served: 0};
	const inFlight = (index: number) => endsAtMs[index]!.filter(atMs => atMs > clock.monotonicMs()).length;
	while (clock.monotonicMs() < simulatedMs) {
		clock.advance(-Math.log(1 - random.next()) * workMs / (upstreamCount * slots * load));
		const nowMs = clock.monotonicMs();
		const isIdempotent = random.next() < idempotentShare;
		const counted = isIdempotent ? 0 : 1;
		result.asked += counted;
		const instance = instances[random.nextInteger(instanceCount)]!;
		const look = () => {
			const seen = Array.from({length: 4}, () => random.nextInteger(upstreamCount));
			for (const index of seen.filter(() => random.next() < 2 / 3)) {
				reports[index] = {running: inFlight(index), atMs: nowMs};
			}

			const best = seen.sort((left, right) => reports[left]!.running - reports[right]!.running)[0]!;
			const {running, atMs} = reports[best]!;
			const report = {
				running: Math.min(running, slots), waiting: Math.max(0, running - slots), slots, slowness: 1,
			};
			instance.recordLoad(service, report);
			return {
				best, isRoomKnown: instance.hasKnownRoom(service, {
					report, reportAgeMs: nowMs - atMs, unreportedInFlight: 0, slots,
				}),
			};
		};

		const needsRoom = isCareful && !isIdempotent && instance.needsKnownRoom(service);
		let looksLeft = needsRoom ? maximumLooks : 1;
		let best: number;
		let isRoomKnown: boolean;
		do {
			({best, isRoomKnown} = look());
			looksLeft -= 1;
		} while (!isRoomKnown && looksLeft > 0);

		if (needsRoom && !isRoomKnown) {
			continue;
		}

		if (inFlight(best) >= slots + queueLength) {
			result.reset += counted;
			if (!isRoomKnown) {
				instance.recordReset(service);
			}
		} else {
			result.served += counted;
			endsAtMs[best] = [...endsAtMs[best]!.filter(end => end > nowMs), nowMs + workMs];
		}
	}

	return result;
}

describe('FullResets', () => {
	it('should take a service for one that resets after two resets, and forget that after a while', () => {
		const clock = new ManualClock();
		const resets = new FullResets(clock);
		resets.recordReset(service);
		assert.equal(resets.needsKnownRoom(service), false);
		resets.recordReset(service);
		assert.equal(resets.needsKnownRoom(service), true);
		clock.advance(60_000);
		assert.equal(resets.needsKnownRoom(service), false);
	});

	it('should know room only from a fresh report with a free slot, counting own requests', () => {
		const resets = new FullResets(new ManualClock());
		const inputs = {
			report: {
				running: 5, waiting: 0, slots, slowness: 1,
			}, reportAgeMs: 10, unreportedInFlight: 0, slots,
		};
		assert.equal(resets.hasKnownRoom(service, inputs), true);
		assert.equal(resets.hasKnownRoom(service, {...inputs, unreportedInFlight: 1}), false);
		assert.equal(resets.hasKnownRoom(service, {...inputs, reportAgeMs: 60}), false);
		assert.equal(resets.hasKnownRoom(service, {...inputs, report: undefined}), false);
	});

	it('should lose few requests to resets in a rush, and refuse fewer than that saves', context => {
		const [before, after] = [play(1.5, false), play(1.5, true)];
		context.diagnostic(`reset ${before.reset} -> ${after.reset}, served ${before.served} -> ${after.served} of ${before.asked} and ${after.asked}`);
		assert.ok(after.reset < before.reset / 4);
		assert.ok(before.served - after.served < before.reset - after.reset);
	});

	it('should refuse nothing that would be served while the slots suffice', () => {
		const [before, after] = [play(0.7, false), play(0.7, true)];
		assert.deepEqual(after, before);
	});
});
