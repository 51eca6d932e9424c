import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, UpstreamId} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import {FleetPace, type PacedUpstream, type PacingInstance} from './fleet-pace.js';

const zones = ['nasr', 'giza', 'maadi'] as AvailabilityZoneId[];
const cold = {
	id: 'u1' as UpstreamId, availabilityZone: zones[0]!, requestsPerSecond: 3.7, isMeanRate: false,
};
/** After its start an instance leaves cold upstreams alone until it knows the others. */
const settledMs = 1500;
/** What an upstream of these deployments must never get more of in a sliding second. */
const greatestInSecond = (3.7 * 1.5) + 8;

function membersOf(size: number): PacingInstance[] {
	return Array.from({length: size}, (_, index) => ({host: `10.0.0.${index}`, availabilityZone: zones[index % zones.length]!}));
}

/** Instances that press on one cold upstream all the time, each with a view of its own. */
class PressingFleet {
	readonly clock = new ManualClock();
	readonly views: PacingInstance[][];
	readonly arrivalsMs: number[] = [];
	readonly limits: FleetPace[];
	/** Hosts that know the others by name only. */
	readonly cutOff = new Set<string>();

	constructor(readonly size: number, readonly upstream: PacedUpstream = cold) {
		const members = membersOf(size);
		this.views = members.map(self => members.filter(other => other !== self));
		this.limits = members.map((self, index) => new FleetPace({
			clock: this.clock, self, others: () => this.views[index]!, isCutOff: () => this.cutOff.has(self.host),
		}));
		this.clock.advance(settledMs);
	}

	press(durationMs: number): void {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			for (const limit of this.limits.filter(each => each.mayUse(this.upstream))) {
				limit.recordUse(this.upstream);
				this.arrivalsMs.push(this.clock.monotonicMs());
			}

			this.clock.advance(10);
		}
	}

	get mostInSecond(): number {
		return this.mostIn(1000);
	}

	mostIn(durationMs: number): number {
		const counts = this.arrivalsMs.map((fromMs, index) => this.arrivalsMs.slice(index).filter(atMs => atMs - fromMs < durationMs).length);
		return Math.max(0, ...counts);
	}
}

describe('FleetPace', () => {
	it('should send a cold upstream some work, and no more than it bears, from fleets of every size', () => {
		for (const size of [1, 2, 13, 104, 300]) {
			const fleet = new PressingFleet(size);
			fleet.press(3000);
			assert.ok(fleet.arrivalsMs.length >= 3, `${size} instances sent ${fleet.arrivalsMs.length}`);
			assert.ok(fleet.mostInSecond <= cold.requestsPerSecond, `${size} instances sent ${fleet.mostInSecond} in a second`);
		}
	});

	it('should divide many cold upstreams among the instances', () => {
		const members = membersOf(99);
		const clock = new ManualClock();
		const limits = members.map(self => new FleetPace({
			clock, self, others: () => members.filter(other => other !== self), isCutOff: () => false,
		}));
		clock.advance(settledMs);
		const upstreams = Array.from({length: 99}, (_, index) => ({...cold, id: `u${index}` as UpstreamId, availabilityZone: zones[index % zones.length]!}));
		const used = limits.map(limit => upstreams.filter(each => limit.mayUse(each)).length);
		assert.equal(used.reduce((sum, count) => sum + count, 0), 297);
		assert.ok(Math.max(...used) <= 12, `${Math.max(...used)}`);
	});

	it('should leave a cold upstream to the instances of its own availability zone, while it has any', () => {
		const members = membersOf(6);
		const clock = new ManualClock();
		const far = members[1]!;
		const limit = (others: readonly PacingInstance[]) => new FleetPace({
			clock, self: far, others: () => others, isCutOff: () => false,
		});
		const [withNear, alone] = [limit(members.filter(({host}) => host !== far.host)), limit([])];
		clock.advance(settledMs);
		assert.deepEqual([withNear.mayUse(cold), alone.mayUse(cold)], [false, true]);
	});

	it('should send nothing to cold upstreams right after a start, when it knows no others yet', () => {
		const clock = new ManualClock();
		const limit = new FleetPace({
			clock, self: membersOf(1)[0]!, others: () => [], isCutOff: () => false,
		});
		clock.advance(settledMs - 1);
		assert.equal(limit.mayUse(cold), false);
		clock.advance(1);
		assert.equal(limit.mayUse(cold), true);
	});

	it('should send nothing from an instance that knows others by name and has heard none of them', () => {
		const fleet = new PressingFleet(13, {...cold, requestsPerSecond: 20, isMeanRate: true});
		for (const [index, {host}] of membersOf(13).entries()) {
			if (index % 4 === 1) {
				fleet.views[index] = [];
				fleet.cutOff.add(host);
			}
		}

		fleet.press(8000);
		assert.ok(fleet.mostIn(4000) <= (20 * 1.5 * 4) + 5, `${fleet.mostIn(4000)}`);
	});

	it('should wait longer between two requests where an upstream bears less than one a second', () => {
		const clock = new ManualClock();
		const limit = new FleetPace({
			clock, self: membersOf(1)[0]!, others: () => [], isCutOff: () => false,
		});
		clock.advance(settledMs);
		const slow = {...cold, requestsPerSecond: 0.5};
		limit.recordUse(slow);
		clock.advance(1999);
		assert.equal(limit.mayUse(slow), false);
		clock.advance(1);
		assert.equal(limit.mayUse(slow), true);
	});

	it('should hold while views differ, as instances die, come back and lose sight of a part of the others', () => {
		const change = fc.record({instance: fc.nat(299), lostShare: fc.double({min: 0, max: 0.6, noNaN: true}), afterMs: fc.nat(400)});
		fc.assert(fc.property(fc.constantFrom(2, 13, 104, 300), fc.array(change, {maxLength: 12}), fc.integer(), (size, changes, seed) => {
			const fleet = new PressingFleet(size);
			const random = createRandomSource(seed);
			for (const {instance, lostShare, afterMs} of changes) {
				fleet.press(afterMs);
				const index = instance % size;
				fleet.views[index] = fleet.views[index]!.filter(() => random.next() >= lostShare);
			}

			fleet.press(1500);
			assert.ok(fleet.mostInSecond <= greatestInSecond, `${fleet.mostInSecond}`);
		}), {seed: 11, numRuns: 40});
	});

	describe('of an upstream that advertises a limit', () => {
		const windowMs = 4000;
		const limits = [0, 0.4, 1, 2.7, 3.6, 20, 400];
		/** What an upstream in need may get in a window. */
		const allowed = (requestsPerSecond: number) => (1.5 * requestsPerSecond * windowMs / 1000) + 5;

		it('should hold in every window, in fleets of every size', () => {
			for (const size of [1, 13, 104, 300]) {
				for (const requestsPerSecond of limits) {
					const fleet = new PressingFleet(size, {...cold, requestsPerSecond, isMeanRate: true});
					fleet.press(6000);
					const most = fleet.mostIn(windowMs);
					assert.ok(most <= allowed(requestsPerSecond), `${size} instances sent ${most} of ${requestsPerSecond} a second`);
				}
			}
		});

		it('should leave little of it unused', () => {
			for (const size of [1, 13, 104, 300]) {
				for (const requestsPerSecond of [1, 2.7, 3.6, 20]) {
					const fleet = new PressingFleet(size, {...cold, requestsPerSecond, isMeanRate: true});
					fleet.press(10_000);
					assert.ok(fleet.arrivalsMs.length >= 0.9 * 10 * requestsPerSecond, `${size} instances sent ${fleet.arrivalsMs.length} of ${10 * requestsPerSecond}`);
				}
			}
		});

		it('should send something to one that takes nothing, as nobody would learn that it does again', () => {
			const fleet = new PressingFleet(13, {...cold, requestsPerSecond: 0, isMeanRate: true});
			fleet.press(15_000);
			assert.equal(fleet.arrivalsMs.length, 2);
		});
	});

	it('should hold where three availability zones have lost sight of each other', () => {
		const fleet = new PressingFleet(99);
		fleet.press(500);
		for (const [index, view] of fleet.views.entries()) {
			fleet.views[index] = view.filter(({availabilityZone}) => availabilityZone === zones[index % zones.length]);
		}

		fleet.press(2500);
		assert.ok(fleet.mostInSecond <= greatestInSecond, `${fleet.mostInSecond}`);
	});
});
