import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {AccountDemand} from './account-demand.js';

const limit = {requestsPerSecond: 20, burst: 10};

describe('AccountDemand', () => {
	let clock: ManualClock;
	let demand: AccountDemand;

	beforeEach(() => {
		clock = new ManualClock();
		demand = new AccountDemand(clock, limit);
	});

	it('should allow the burst at once, and no more', () => {
		assert.equal(demand.record(limit.burst), false);
		assert.equal(demand.record(1), true);
	});

	it('should allow the rate for any time', () => {
		demand.record(limit.burst);
		for (let request = 0; request < 200; request++) {
			clock.advance(1000 / limit.requestsPerSecond);
			assert.equal(demand.record(1), false, `request ${request}`);
		}

		assert.equal(demand.record(1), true);
	});

	it('should not let an account that has asked for too much pay for it for longer than it takes to ask for one', () => {
		demand.record(1000);
		clock.advance(1000);
		assert.equal(demand.record(1), false);
	});

	it('should apply a lower limit at once', () => {
		demand.setLimit({requestsPerSecond: 2, burst: 2});
		assert.equal(demand.record(3), true);
	});
});
