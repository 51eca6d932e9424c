import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Clock} from '../model/clock.js';
import type {ClientAccountId, ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {Admission} from '../placement/admission.js';
import {OverloadControl} from './overload-control.js';
import {playRush, type Gate, type Tally} from './simulated-rush.js';

const kind = {
	id: 'status', priority: 2, share: 1, workMs: 249, targetLatencyMs: 651, deadlineMs: 6500, worth: 1, lateWorth: 0.1,
};
const accountCount = 30;
/** Least share of the requests of an account below its share that is served beside the rush of another. */
const minimumServed = 0.95;
/** Nobody is served less than this part as often as all. */
const minimumPart = 1 / 4;

function createGate(clock: Clock, seed: number, withAccounts: boolean): Gate {
	const control = new OverloadControl({clock, random: createRandomSource(seed), admission: new Admission(clock)});
	const strip = (request: Parameters<Gate['decide']>[0]) => withAccounts ? request : {...request, account: undefined};
	return {
		recordArrival(request) {
			control.recordArrival(strip(request));
		},
		decide: (request, place) => control.decide(strip(request), place),
	};
}

/** Plays accounts that together fill 0.3 of the slots, and one of them that asks for `rushLoad` more from second 4 to 12. */
function play(withAccounts: boolean, rushLoad: number): {readonly rushing: Tally; readonly others: Tally; readonly all: Tally} {
	const load = (nowMs: number) => nowMs >= 4000 && nowMs < 12_000 ? 0.3 + rushLoad : 0.3;
	const {all, of} = playRush({
		seed: 31, kinds: [kind], load, durationMs: 14_000, lostShare: 0, slowShare: 0.1, impatientShare: 0.1,
		account: (nowMs, next) => next() < 1 - (0.3 / load(nowMs)) ? 'rushing' : `account ${Math.floor(next() * accountCount)}`,
	}, (clock, seed) => createGate(clock, seed, withAccounts));
	const rushing = of.get('rushing')!;
	const others = Object.fromEntries(Object.entries(all).map(([key, value]) => [key, value - rushing[key as keyof Tally]])) as Tally;
	return {rushing, others, all};
}

/** Plays 60 requests a second, of which one account sends 0.3, and 0.2 s in which all upstreams are full. Returns the refusals from 2 s later on. */
function playMoment(seed: number): number {
	const clock = new ManualClock();
	const random = createRandomSource(seed);
	const control = new OverloadControl({clock, random, admission: new Admission(clock)});
	const [fromMs, untilMs] = [8000, 8200];
	let refused = 0;
	while (clock.monotonicMs() < 2 * fromMs) {
		clock.advance(-Math.log(1 - random.next()) * 1000 / 60);
		const nowMs = clock.monotonicMs();
		const account = random.next() < 0.3 ? 'largest' : `account ${random.nextInteger(accountCount)}`;
		const request = {
			service: 'desk' as ServiceId,
			account: {id: account as ClientAccountId},
			priority: kind.priority,
			route: kind,
			receivedAtMs: nowMs,
			deadlineAtMs: nowMs + kind.deadlineMs,
		};
		control.recordArrival(request);
		const isFull = nowMs >= fromMs && nowMs < untilMs;
		const {type} = control.decide(request, {
			expectedMs: isFull ? 2 * kind.targetLatencyMs : kind.workMs, workMs: kind.workMs, isLightlyLoaded: !isFull, isLoadKnown: true,
		});
		refused += type === 'refused' && nowMs > untilMs + 2000 ? 1 : 0;
	}

	return refused;
}

const served = ({inTime, late, asked}: Tally) => (inTime + late) / asked;

describe('AccountShares', () => {
	for (const rushLoad of [0.6, 1]) {
		describe(`when one account asks for ${rushLoad} of all slots in addition`, () => {
			const before = play(false, rushLoad);
			const after = play(true, rushLoad);
			const figures = (['rushing', 'others', 'all'] as const).map(group =>
				`${group}: served ${served(before[group]).toFixed(3)} in time ${(before[group].inTime / before[group].asked).toFixed(3)}`
				+ ` -> ${served(after[group]).toFixed(3)} ${(after[group].inTime / after[group].asked).toFixed(3)}`).join(', ');

			it('should serve the others nearly all they ask for', context => {
				context.diagnostic(figures);
				assert.ok(served(after.others) > minimumServed, figures);
			});

			it('should leave the rest to the one that rushes, and serve no fewer in time', () => {
				assert.ok(served(after.rushing) > served(after.all) * minimumPart, figures);
				assert.ok(after.all.inTime / after.all.asked > before.all.inTime / before.all.asked, figures);
			});
		});
	}

	it('should refuse nobody where upstreams are lightly loaded, two seconds after a moment in which all were full', () => {
		const refused = Array.from({length: 20}, (_, index) => playMoment(index + 1));
		assert.deepEqual(refused.filter(count => count > 0), []);
	});
});
