import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {FleetShareTracker, type FleetShareOptions} from './fleet-share.js';
import {FleetSize} from './fleet-size.js';

const secondMs = 1000;
const windowMs = 10 * secondMs;

class Start {
	readonly clock = new ManualClock();
	readonly size = new FleetSize(this.clock);
	hasHeardNamed = false;
	readonly shares: FleetShareTracker;

	constructor(options: Pick<FleetShareOptions, 'isFirstStart'>) {
		this.shares = new FleetShareTracker({
			clock: this.clock, windowMs: () => windowMs, size: this.size, hasHeardAllAddresses: () => this.hasHeardNamed, ...options,
		});
	}
}

describe('FleetShares', () => {
	describe('at the first start of the fleet', () => {
		it('should hold a share once the instances that start together know each other', () => {
			const start = new Start({isFirstStart: true});
			assert.deepEqual(start.shares.current, {type: 'none', reason: 'learning'});
			start.size.observe(19);
			start.clock.advance(2 * secondMs);
			assert.deepEqual(start.shares.current, {type: 'held', instances: 19});
		});

		it('should wait for a window where another instance has a share already', () => {
			const start = new Start({isFirstStart: true});
			start.size.receiveReport({instances: 3, ageMs: 0});
			start.clock.advance(2 * secondMs);
			assert.equal(start.shares.current.type, 'none');
			start.clock.advance(windowMs);
			assert.equal(start.shares.current.type, 'held');
		});
	});

	describe('at a later start', () => {
		it('should wait for a window, as the process before may have used its share', () => {
			const start = new Start({isFirstStart: false});
			start.hasHeardNamed = true;
			start.clock.advance(windowMs);
			assert.deepEqual(start.shares.current, {type: 'none', reason: 'learning'});
			start.clock.advance(2 * secondMs);
			assert.deepEqual(start.shares.current, {type: 'held', instances: 8});
		});

		it('should hold no share as long as it hears none of the instances that it knows by name', () => {
			const start = new Start({isFirstStart: false});
			start.clock.advance(600 * secondMs);
			assert.ok(start.shares.isCutOff);
			assert.deepEqual(start.shares.current, {type: 'none', reason: 'cut-off'});
		});

		it('should not believe its part of the fleet before a minute without word from those that are named', () => {
			const start = new Start({isFirstStart: false});
			start.size.observe(44);
			start.clock.advance(59 * secondMs);
			assert.deepEqual(start.shares.current, {type: 'none', reason: 'cut-off'});
			start.clock.advance(secondMs);
			assert.deepEqual(start.shares.current, {type: 'held', instances: 44});
		});

		it('should go by the size that an instance reports which knew the fleet before a cut', () => {
			const start = new Start({isFirstStart: false});
			start.size.observe(44);
			start.size.receiveReport({instances: 132, ageMs: 5 * secondMs});
			start.clock.advance(windowMs + (2 * secondMs));
			assert.deepEqual(start.shares.current, {type: 'held', instances: 132});
		});
	});

	it('should not lose a share that it has', () => {
		const start = new Start({isFirstStart: false});
		start.hasHeardNamed = true;
		start.clock.advance(windowMs + (2 * secondMs));
		assert.equal(start.shares.current.type, 'held');
		start.hasHeardNamed = false;
		assert.equal(start.shares.current.type, 'held');
	});
});

describe('FleetSize', () => {
	it('should forget a size that nobody has seen for an hour', () => {
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

	it('should keep the age of a size that is passed on, so that instances do not renew it for each other', () => {
		const clock = new ManualClock();
		const size = new FleetSize(clock);
		size.receiveReport({instances: 132, ageMs: 3000 * secondMs});
		assert.deepEqual(size.latestReport, {instances: 132, ageMs: 3000 * secondMs});
		size.receiveReport({instances: 200, ageMs: 3601 * secondMs});
		assert.equal(size.greatest, 132);
	});
});
