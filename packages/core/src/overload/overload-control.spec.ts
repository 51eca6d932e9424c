import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {Admission} from '../placement/admission.js';
import {OverloadControl} from './overload-control.js';
import {shortDelayMs} from './return-times.js';
import {
	playRush, type Gate, type Kind, type Tally,
} from './simulated-rush.js';

const kinds: readonly Kind[] = [
	{
		id: 'invoice', priority: 0, share: 0.19, workMs: 98, targetLatencyMs: 301, deadlineMs: 3600, worth: 3.2, lateWorth: 0.13,
	},
	{
		id: 'payout', priority: 1, share: 0.23, workMs: 319, targetLatencyMs: 852, deadlineMs: 8500, worth: 1.7, lateWorth: 0.17,
	},
	{
		id: 'status', priority: 2, share: 0.58, workMs: 249, targetLatencyMs: 651, deadlineMs: 6500, worth: 0.83, lateWorth: 0.083,
	},
];
const seeds = [21, 22, 23, 24, 25, 26];
/** Operators accept at most this much less of one thing for more of another. */
const acceptedLoss = 0.03;
/** No kind may be served less than this part as often as all. */
const minimumPart = 1 / 4;

/** Admission alone, with one short retry delay for all. */
function createPlainGate(clock: Clock): Gate {
	const admission = new Admission(clock);
	return {
		recordArrival(request) {
			admission.recordArrival(request);
		},
		decide(request, place) {
			if (admission.admits(request, place)) {
				return {type: 'admitted'};
			}

			admission.recordRefusal(request);
			return {type: 'refused', reason: 'too-busy', retryAfterMs: shortDelayMs};
		},
	};
}

function createControl(clock: Clock, seed: number): Gate {
	return new OverloadControl({clock, random: createRandomSource(seed), admission: new Admission(clock)});
}

type Shares = {readonly worth: number; readonly inTime: number; readonly served: number; readonly sums: Tally};

/** Plays eight seconds of a rush, in which a third of the upstreams is lost for three, and three in ten are slow at a time. */
function play(createGate: typeof createControl, peakLoad: number, slowShare = 0.3): (group: string) => Shares {
	const plays = seeds.map(seed => playRush({
		seed, kinds, durationMs: 20_000, lostShare: 1 / 3, slowShare, impatientShare: 1 / 3,
		load: nowMs => nowMs >= 4000 && nowMs < 12_000 ? peakLoad : 0.45,
	}, createGate));
	return group => {
		const tallies = plays.map(({all, of}) => group === 'all' ? all : of.get(group)!);
		const sums = Object.fromEntries(Object.keys(tallies[0]!).map(key => [key, tallies.reduce((sum, tally) => sum + tally[key as keyof Tally], 0)])) as Tally;
		return {
			sums, worth: sums.worth / sums.bestWorth, inTime: sums.inTime / sums.asked, served: (sums.inTime + sums.late) / sums.asked,
		};
	};
}

describe('OverloadControl in a rush', () => {
	for (const peakLoad of [0.6, 1, 1.5]) {
		describe(`of ${peakLoad} times what fills the slots, beside slow neighbours`, () => {
			const before = play(createPlainGate, peakLoad);
			const after = play(createControl, peakLoad);
			const figures = ['all', ...kinds.map(({id}) => id)].map(group => {
				const describeShares = ({worth, inTime, served, sums}: Shares) =>
					`worth ${worth.toFixed(3)} in time ${inTime.toFixed(3)} served ${served.toFixed(3)} refusals ${sums.refusals} exhausted ${sums.exhaustedAtOnce}`;
				return `${group}: ${describeShares(before(group))} -> ${describeShares(after(group))}`;
			});

			it('should serve callers better than admission alone', context => {
				for (const text of figures) {
					context.diagnostic(text);
				}

				assert.ok(after('all').worth > before('all').worth, figures[0]);
				assert.ok(after('all').served > before('all').served - acceptedLoss, figures[0]);
				assert.ok(after('all').inTime > before('all').inTime - acceptedLoss, figures[0]);
			});

			it('should serve more of the most urgent in time, and starve nobody', () => {
				assert.ok(after('invoice').inTime > before('invoice').inTime, figures[1]);
				assert.ok(after('payout').inTime > before('payout').inTime, figures[2]);
				assert.ok(after('status').served > after('all').served * minimumPart, figures[3]);
			});

			it('should let nobody use up all retries at once, nor tell anybody to return after the deadline', () => {
				assert.equal(after('all').sums.exhaustedAtOnce, 0);
				assert.equal(after('all').sums.toldTooLate, 0);
			});
		});
	}

	it('should change nothing while the load is moderate', () => {
		const before = play(createPlainGate, 0.45, 0);
		const after = play(createControl, 0.45, 0);
		assert.deepEqual(after('all'), before('all'));
	});
});

describe('OverloadControl for a service of which no load is known', () => {
	const service = 'desk' as ServiceId;
	const place = {
		expectedMs: 160, workMs: 60, isLightlyLoaded: false, isLoadKnown: false,
	};
	const full = {...place, isLoadKnown: true};
	const request = (priority: number, receivedAtMs: number) => ({
		service, priority, receivedAtMs, deadlineAtMs: receivedAtMs + 1000, route: {id: 'read', targetLatencyMs: 100},
	});
	const create = () => {
		const clock = new ManualClock();
		return {clock, control: createControl(clock, 21)};
	};

	// Guards against refusals by idle upstreams whose load is not known.
	it('should not take them for full', () => {
		const {control} = create();
		for (let count = 0; count < 8; count++) {
			assert.equal(control.decide(request(1, 0), place).type, 'admitted');
		}
	});

	it('should send a request however much of its target latency has passed, as long as an idle one could answer before the deadline', () => {
		const {clock, control} = create();
		clock.advance(940);
		assert.equal(control.decide(request(1, 0), place).type, 'admitted');
		clock.advance(1);
		assert.equal(control.decide(request(1, 0), place).type, 'refused');
	});

	it('should refuse at once where they are known to be full', () => {
		const {control} = create();
		assert.equal(control.decide(request(1, 0), full).type, 'refused');
	});

	it('should go by what they count as during an overload, which is known from refusals', () => {
		const {control} = create();
		for (let count = 0; count < 2; count++) {
			control.decide(request(1, 0), full);
		}

		assert.equal(control.decide(request(1, 0), place).type, 'refused');
	});

	it('should leave them to more urgent requests that were refused just before', () => {
		const {control} = create();
		control.decide(request(0, 0), full);
		assert.equal(control.decide(request(0, 0), place).type, 'admitted');
		assert.equal(control.decide(request(1, 0), place).type, 'refused');
	});
});
