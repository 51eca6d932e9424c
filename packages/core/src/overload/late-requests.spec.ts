import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {canReturnLater, judgeLateRequest} from './late-requests.js';

/** A first attempt at an upstream whose last slot is free. */
const inputs = {
	nowMs: 0, expectedMs: 160, workMs: 100, isLightlyLoaded: false, askedAtMs: 0, targetLatencyMs: 300, deadlineAtMs: 3600,
};

describe('judgeLateRequest', () => {
	it('should leave a request that can be in time to the usual decision', () => {
		assert.equal(judgeLateRequest(inputs), 'in-time');
	});

	it('should let one that cannot wait until there is room', () => {
		assert.equal(judgeLateRequest({...inputs, nowMs: 250}), 'wait');
		assert.equal(judgeLateRequest({...inputs, nowMs: 250, isLightlyLoaded: true}), 'send');
	});

	it('should send it to any free slot once it has hardly time left', () => {
		assert.equal(judgeLateRequest({...inputs, nowMs: 2400}), 'send');
		assert.equal(judgeLateRequest({...inputs, nowMs: 2400, expectedMs: 400}), 'wait');
	});

	it('should see at once that it cannot be answered before its deadline', () => {
		assert.equal(judgeLateRequest({...inputs, nowMs: 3550}), 'hopeless');
	});
});

describe('canReturnLater', () => {
	it('should expect a caller back later if it waits for longer than its target', () => {
		assert.equal(canReturnLater(inputs), true);
	});

	it('should not expect one back whose longest wait ends within its target', () => {
		assert.equal(canReturnLater({...inputs, deadlineAtMs: 800}), false);
	});
});
