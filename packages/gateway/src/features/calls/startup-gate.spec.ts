import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {StartupGate} from './startup-gate.js';

/** Creates the gate of an instance that can serve requests from `servesFromMs` on. */
function createGate(servesFromMs: number) {
	const clock = new ManualClock();
	const gate = new StartupGate({
		clock,
		canServe: () => clock.monotonicMs() >= servesFromMs,
		async pause(durationMs) {
			clock.advance(durationMs);
		},
	});
	return {clock, gate};
}

describe('StartupGate', () => {
	it('should let requests pass at once if they can be served', async () => {
		const {clock, gate} = createGate(0);
		await gate.waitUntilReady();
		assert.equal(clock.monotonicMs(), 0);
	});

	it('should hold requests until the state is transferred, and no longer', async () => {
		const {clock, gate} = createGate(120);
		await gate.waitUntilReady();
		assert.equal(clock.monotonicMs(), 120);
	});

	it('should stop holding requests while their callers still have time left', async () => {
		const {clock, gate} = createGate(Number.POSITIVE_INFINITY);
		await gate.waitUntilReady();
		assert.equal(clock.monotonicMs(), 250);
	});
});
