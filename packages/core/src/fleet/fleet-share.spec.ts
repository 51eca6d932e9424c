import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {FleetShareTracker, type FleetShareOptions} from './fleet-share.js';
import {FleetSize} from './fleet-size.js';

const secondMs = 1000;
const windowMs = 10 * secondMs;

class StartedInstance {
	readonly clock = new ManualClock();
	readonly size = new FleetSize(this.clock);
	hasHeardAll = false;
	readonly shares: FleetShareTracker;

	constructor(options: Pick<FleetShareOptions, 'isFirstStart'>) {
		this.shares = new FleetShareTracker({
			clock: this.clock, windowMs: () => windowMs, size: this.size, hasHeardAllAddresses: () => this.hasHeardAll, ...options,
		});
	}
}

describe('FleetShareTracker', () => {
	describe('at the first start of the fleet', () => {
		it('should have a share once the instances that start together know each other', () => {
			const instance = new StartedInstance({isFirstStart: true});
			assert.deepEqual(instance.shares.current, {type: 'none', reason: 'learning'});
			instance.size.observe(19);
			instance.clock.advance(2 * secondMs);
			assert.deepEqual(instance.shares.current, {type: 'held', instances: 19});
		});

		it('should wait for one window if another instance already has a share', () => {
			const instance = new StartedInstance({isFirstStart: true});
			instance.size.receiveReport({instances: 3, ageMs: 0});
			instance.clock.advance(2 * secondMs);
			assert.equal(instance.shares.current.type, 'none');
			instance.clock.advance(windowMs);
			assert.equal(instance.shares.current.type, 'held');
		});
	});

	describe('at a later start', () => {
		it('should wait for one window, as the previous process may have used its share', () => {
			const instance = new StartedInstance({isFirstStart: false});
			instance.hasHeardAll = true;
			instance.clock.advance(windowMs);
			assert.deepEqual(instance.shares.current, {type: 'none', reason: 'learning'});
			instance.clock.advance(2 * secondMs);
			assert.deepEqual(instance.shares.current, {type: 'held', instances: 8});
		});

		it('should have no share while no known address was heard from', () => {
			const instance = new StartedInstance({isFirstStart: false});
			instance.clock.advance(600 * secondMs);
			assert.ok(instance.shares.isCutOff);
			assert.deepEqual(instance.shares.current, {type: 'none', reason: 'cut-off'});
		});

		it('should not rely on the size that it sees for a minute while nothing is heard from known addresses', () => {
			const instance = new StartedInstance({isFirstStart: false});
			instance.size.observe(44);
			instance.clock.advance(59 * secondMs);
			assert.deepEqual(instance.shares.current, {type: 'none', reason: 'cut-off'});
			instance.clock.advance(secondMs);
			assert.deepEqual(instance.shares.current, {type: 'held', instances: 44});
		});

		it('should use the size reported by an instance that knew the fleet before a partition', () => {
			const instance = new StartedInstance({isFirstStart: false});
			instance.size.observe(44);
			instance.size.receiveReport({instances: 132, ageMs: 5 * secondMs});
			instance.clock.advance(windowMs + (2 * secondMs));
			assert.deepEqual(instance.shares.current, {type: 'held', instances: 132});
		});
	});

	it('should keep a share that it has', () => {
		const instance = new StartedInstance({isFirstStart: false});
		instance.hasHeardAll = true;
		instance.clock.advance(windowMs + (2 * secondMs));
		assert.equal(instance.shares.current.type, 'held');
		instance.hasHeardAll = false;
		assert.equal(instance.shares.current.type, 'held');
	});
});

describe('FleetSize', () => {
	it('should discard a size that was not observed for an hour', () => {
		const clock = new ManualClock();
		const size = new FleetSize(clock);
		size.observe(132);
		clock.advance(3599 * secondMs);
		size.observe(60);
		assert.equal(size.greatest, 132);
		clock.advance(2 * secondMs);
		size.observe(60);
		assert.equal(size.greatest, 60);
	});

	it('should keep the age of a reported size, so that instances do not renew it for each other', () => {
		const clock = new ManualClock();
		const size = new FleetSize(clock);
		size.receiveReport({instances: 132, ageMs: 3000 * secondMs});
		assert.deepEqual(size.latestReport, {instances: 132, ageMs: 3000 * secondMs});
		size.receiveReport({instances: 200, ageMs: 3601 * secondMs});
		assert.equal(size.greatest, 132);
	});
});
