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
/** Time after its start during which an instance sends nothing to cold upstreams, as it does not know the others yet. */
const settledMs = 1500;
/** Most requests that the cold upstream may get in any sliding second. */
const maximumInSecond = (3.7 * 1.5) + 8;

function membersOf(size: number): PacingInstance[] {
	return Array.from({length: size}, (_, index) => ({host: `10.0.0.${index}`, availabilityZone: zones[index % zones.length]!}));
}

/** Instances that send one upstream as many requests as `FleetPace` allows, each with its own view of the membership. */
class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly views: PacingInstance[][];
	readonly arrivalsMs: number[] = [];
	readonly paces: FleetPace[];
	/** Hosts that know the other instances by name only. */
	readonly cutOff = new Set<string>();

	constructor(readonly size: number, readonly upstream: PacedUpstream = cold) {
		const members = membersOf(size);
		this.views = members.map(self => members.filter(other => other !== self));
		this.paces = members.map((self, index) => new FleetPace({
			clock: this.clock, self, others: () => this.views[index]!, isCutOff: () => this.cutOff.has(self.host),
		}));
		this.clock.advance(settledMs);
	}

	run(durationMs: number): void {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			for (const pace of this.paces.filter(each => each.mayUse(this.upstream))) {
				pace.recordUse(this.upstream);
				this.arrivalsMs.push(this.clock.monotonicMs());
			}

			this.clock.advance(10);
		}
	}

	get peakInSecond(): number {
		return this.peakIn(1000);
	}

	peakIn(durationMs: number): number {
		const counts = this.arrivalsMs.map((fromMs, index) => this.arrivalsMs.slice(index).filter(atMs => atMs - fromMs < durationMs).length);
		return Math.max(0, ...counts);
	}
}

describe('FleetPace', () => {
	it('should send a cold upstream some requests, but no more than it can handle, from fleets of every size', () => {
		for (const size of [1, 2, 13, 104, 300]) {
			const fleet = new SimulatedFleet(size);
			fleet.run(3000);
			assert.ok(fleet.arrivalsMs.length >= 3, `${size} instances sent ${fleet.arrivalsMs.length}`);
			assert.ok(fleet.peakInSecond <= cold.requestsPerSecond, `${size} instances sent ${fleet.peakInSecond} in a second`);
		}
	});

	it('should divide many cold upstreams among the instances', () => {
		const members = membersOf(99);
		const clock = new ManualClock();
		const paces = members.map(self => new FleetPace({
			clock, self, others: () => members.filter(other => other !== self), isCutOff: () => false,
		}));
		clock.advance(settledMs);
		const upstreams = Array.from({length: 99}, (_, index) => ({...cold, id: `u${index}` as UpstreamId, availabilityZone: zones[index % zones.length]!}));
		const used = paces.map(pace => upstreams.filter(each => pace.mayUse(each)).length);
		assert.equal(used.reduce((sum, count) => sum + count, 0), 297);
		assert.ok(Math.max(...used) <= 12, `${Math.max(...used)}`);
	});

	it('should leave a cold upstream to the instances of its own availability zone, if there are any', () => {
		const members = membersOf(6);
		const clock = new ManualClock();
		const remote = members[1]!;
		const pace = (others: readonly PacingInstance[]) => new FleetPace({
			clock, self: remote, others: () => others, isCutOff: () => false,
		});
		const [withLocal, withoutOthers] = [pace(members.filter(({host}) => host !== remote.host)), pace([])];
		clock.advance(settledMs);
		assert.deepEqual([withLocal.mayUse(cold), withoutOthers.mayUse(cold)], [false, true]);
	});

	it('should send nothing to cold upstreams right after a start, before it knows other instances', () => {
		const clock = new ManualClock();
		const pace = new FleetPace({
			clock, self: membersOf(1)[0]!, others: () => [], isCutOff: () => false,
		});
		clock.advance(settledMs - 1);
		assert.equal(pace.mayUse(cold), false);
		clock.advance(1);
		assert.equal(pace.mayUse(cold), true);
	});

	it('should send nothing from an instance that knows others by name but has heard from none of them', () => {
		const fleet = new SimulatedFleet(13, {...cold, requestsPerSecond: 20, isMeanRate: true});
		for (const [index, {host}] of membersOf(13).entries()) {
			if (index % 4 === 1) {
				fleet.views[index] = [];
				fleet.cutOff.add(host);
			}
		}

		fleet.run(8000);
		assert.ok(fleet.peakIn(4000) <= (20 * 1.5 * 4) + 5, `${fleet.peakIn(4000)}`);
	});

	it('should wait longer between two requests if an upstream can handle less than one a second', () => {
		const clock = new ManualClock();
		const pace = new FleetPace({
			clock, self: membersOf(1)[0]!, others: () => [], isCutOff: () => false,
		});
		clock.advance(settledMs);
		const slow = {...cold, requestsPerSecond: 0.5};
		pace.recordUse(slow);
		clock.advance(1999);
		assert.equal(pace.mayUse(slow), false);
		clock.advance(1);
		assert.equal(pace.mayUse(slow), true);
	});

	it('should stay within the bound while membership views differ, as instances stop, restart and lose contact with some of the others', () => {
		const change = fc.record({instance: fc.nat(299), lostShare: fc.double({min: 0, max: 0.6, noNaN: true}), afterMs: fc.nat(400)});
		fc.assert(fc.property(fc.constantFrom(2, 13, 104, 300), fc.array(change, {maxLength: 12}), fc.integer(), (size, changes, seed) => {
			const fleet = new SimulatedFleet(size);
			const random = createRandomSource(seed);
			for (const {instance, lostShare, afterMs} of changes) {
				fleet.run(afterMs);
				const index = instance % size;
				fleet.views[index] = fleet.views[index]!.filter(() => random.next() >= lostShare);
			}

			fleet.run(1500);
			assert.ok(fleet.peakInSecond <= maximumInSecond, `${fleet.peakInSecond}`);
		}), {seed: 11, numRuns: 40});
	});

	describe('of an upstream that advertises a limit', () => {
		const windowMs = 4000;
		const rates = [0, 0.4, 1, 2.7, 3.6, 20, 400];
		/** Most requests that the upstream may get in one window. */
		const allowed = (requestsPerSecond: number) => (1.5 * requestsPerSecond * windowMs / 1000) + 5;

		it('should stay within the limit in every window, in fleets of every size', () => {
			for (const size of [1, 13, 104, 300]) {
				for (const requestsPerSecond of rates) {
					const fleet = new SimulatedFleet(size, {...cold, requestsPerSecond, isMeanRate: true});
					fleet.run(6000);
					const most = fleet.peakIn(windowMs);
					assert.ok(most <= allowed(requestsPerSecond), `${size} instances sent ${most} of ${requestsPerSecond} a second`);
				}
			}
		});

		it('should leave little of the limit unused', () => {
			for (const size of [1, 13, 104, 300]) {
				for (const requestsPerSecond of [1, 2.7, 3.6, 20]) {
					const fleet = new SimulatedFleet(size, {...cold, requestsPerSecond, isMeanRate: true});
					fleet.run(10_000);
					assert.ok(fleet.arrivalsMs.length >= 0.9 * 10 * requestsPerSecond, `${size} instances sent ${fleet.arrivalsMs.length} of ${10 * requestsPerSecond}`);
				}
			}
		});

		it('should send a few requests to an upstream that accepts none, to detect when it accepts them again', () => {
			const fleet = new SimulatedFleet(13, {...cold, requestsPerSecond: 0, isMeanRate: true});
			fleet.run(15_000);
			assert.equal(fleet.arrivalsMs.length, 2);
		});
	});

	it('should stay within the bound when three availability zones have lost contact with each other', () => {
		const fleet = new SimulatedFleet(99);
		fleet.run(500);
		for (const [index, view] of fleet.views.entries()) {
			fleet.views[index] = view.filter(({availabilityZone}) => availabilityZone === zones[index % zones.length]);
		}

		fleet.run(2500);
		assert.ok(fleet.peakInSecond <= maximumInSecond, `${fleet.peakInSecond}`);
	});
});
