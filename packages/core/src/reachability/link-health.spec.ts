import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {UpstreamId} from '../model/ids.js';
import {LinkHealth} from './link-health.js';

const upstreams = 14;
const silenceMs = 150;
const refusedMs = 40;

describe('LinkHealth', () => {
	let clock: ManualClock;
	let health: LinkHealth;

	function fail(...ids: readonly string[]): void {
		for (const id of ids) {
			health.recordFailure(id as UpstreamId, true);
		}
	}

	function answer(...ids: readonly string[]): void {
		for (const id of ids) {
			health.recordAnswer(id as UpstreamId);
		}
	}

	beforeEach(() => {
		clock = new ManualClock();
		health = new LinkHealth(clock);
		answer('u1', 'u2', 'u3', 'u4', 'u5');
		clock.advance(1);
	});

	describe('while links are sound', () => {
		it('should detect a loss once four upstreams have failed and none has answered for a while', () => {
			fail('u1', 'u2', 'u3', 'u4');
			clock.advance(silenceMs);
			assert.equal(health.evaluate(upstreams), 'lost');
			assert.equal(health.lostAtMs, clock.monotonicMs());
		});

		it('should detect a loss sooner where all connections are refused', () => {
			for (const id of ['u1', 'u2', 'u3', 'u4']) {
				health.recordFailure(id as UpstreamId, false);
			}

			clock.advance(refusedMs);
			assert.equal(health.evaluate(upstreams), 'lost');
		});

		it('should not detect one while answers keep arriving', () => {
			fail('u1', 'u2', 'u3', 'u4');
			clock.advance(silenceMs);
			answer('u5');
			assert.equal(health.evaluate(upstreams), 'unchanged');
		});

		it('should not detect one at once, as answers may wait to be read', () => {
			fail('u1', 'u2', 'u3', 'u4');
			assert.equal(health.evaluate(upstreams), 'unchanged');
		});

		it('should not detect one at the first failures, before any upstream could answer', () => {
			health = new LinkHealth(clock);
			fail('u1', 'u2', 'u3', 'u4');
			assert.equal(health.evaluate(upstreams), 'unchanged');
		});

		it('should not count upstreams that failed before the last answer', () => {
			fail('u1', 'u2', 'u3', 'u4');
			clock.advance(1);
			answer('u5');
			clock.advance(silenceMs);
			fail('u1', 'u2', 'u3', 'u4');
			assert.equal(health.evaluate(upstreams), 'unchanged');
		});

		it('should detect a loss although half of the upstreams failed before the last answer', () => {
			fail('u1', 'u2', 'u3', 'u4');
			clock.advance(1);
			answer('u5');
			clock.advance(silenceMs);
			fail('u1', 'u2', 'u3', 'u4', 'u5', 'u6', 'u7');
			clock.advance(silenceMs);
			assert.equal(health.evaluate(upstreams), 'lost');
		});

		it('should detect a loss of fewer upstreams where the service has no more', () => {
			fail('u1', 'u2');
			clock.advance(silenceMs);
			assert.equal(health.evaluate(2), 'lost');
		});

		it('should not detect one for a service without upstreams', () => {
			clock.advance(silenceMs);
			assert.equal(health.evaluate(0), 'unchanged');
		});
	});

	describe('while links are lost', () => {
		beforeEach(() => {
			fail('u1', 'u2', 'u3', 'u4');
			clock.advance(silenceMs);
			health.evaluate(upstreams);
		});

		it('should detect that they are regained once two upstreams answer', () => {
			answer('u1');
			assert.equal(health.evaluate(upstreams), 'unchanged');
			answer('u2');
			assert.equal(health.evaluate(upstreams), 'regained');
			assert.equal(health.lostAtMs, undefined);
		});

		it('should not count an upstream that has failed again', () => {
			answer('u1');
			fail('u1');
			answer('u2');
			assert.equal(health.evaluate(upstreams), 'unchanged');
			assert.ok(!health.hasAnsweredSinceLoss('u1' as UpstreamId));
		});

		it('should regain the link to the only upstream', () => {
			answer('u1');
			assert.equal(health.evaluate(1), 'regained');
		});
	});
});
