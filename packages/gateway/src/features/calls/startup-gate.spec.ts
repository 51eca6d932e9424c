import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {StartupGate} from './startup-gate.js';

/** The gate of an instance that knows what it needs from this moment on. */
function createWorld(knownAtMs: number) {
	const clock = new ManualClock();
	const gate = new StartupGate({
		clock,
		isKnown: () => clock.monotonicMs() >= knownAtMs,
		async pause(durationMs) {
			clock.advance(durationMs);
		},
	});
	return {clock, gate};
}

describe('StartupGate', () => {
	it('should let requests pass at once where all is known', async () => {
		const {clock, gate} = createWorld(0);
		await gate.ready();
		assert.equal(clock.monotonicMs(), 0);
	});

	it('should hold those that come before the state is handed over, and no longer', async () => {
		const {clock, gate} = createWorld(120);
		await gate.ready();
		assert.equal(clock.monotonicMs(), 120);
	});

	it('should let them be refused before their callers have no time left', async () => {
		const {clock, gate} = createWorld(Number.POSITIVE_INFINITY);
		await gate.ready();
		assert.equal(clock.monotonicMs(), 250);
	});
});
