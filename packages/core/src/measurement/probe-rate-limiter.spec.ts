import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ProbeRateLimiter} from './probe-rate-limiter.js';

const inputs = {probesPerSecond: 60, upstreams: 24, instances: 13};

describe('ProbeRateLimiter', () => {
	it('should allow nothing at the start', () => {
		assert.equal(new ProbeRateLimiter(0).tryTake(0, inputs), false);
	});

	it('should hold at most the tokens of one second after a long idle time', () => {
		const limiter = new ProbeRateLimiter(0);
		const taken = Array.from({length: 1000}, () => limiter.tryTake(60_000, inputs)).filter(Boolean).length;
		assert.equal(taken, Math.floor(60 * 24 * 0.8 / 13));
	});

	it('should keep the fleet within its rate over any period, whatever the demand', () => {
		fc.assert(fc.property(fc.array(fc.nat(50), {minLength: 50, maxLength: 500}), gaps => {
			const limiter = new ProbeRateLimiter(0);
			let nowMs = 0;
			let taken = 0;
			for (const gapMs of gaps) {
				nowMs += gapMs;
				while (limiter.tryTake(nowMs, inputs)) {
					taken += 1;
				}
			}

			assert.ok(taken * inputs.instances <= inputs.probesPerSecond * inputs.upstreams * nowMs / 1000);
		}), {seed: 3});
	});
});
