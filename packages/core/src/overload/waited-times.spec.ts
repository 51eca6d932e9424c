import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WaitedTimes} from './waited-times.js';

const granted = (deadlineAtMs: number) => ({route: {id: 'route'}, receivedAtMs: 0, deadlineAtMs});

describe('WaitedTimes', () => {
	it('should conclude from a closer deadline how long a caller has waited', () => {
		const times = new WaitedTimes();
		times.recordArrival(granted(3600), false);
		times.recordArrival(granted(3600), false);
		assert.equal(times.waitedMs(granted(3595)), 0);
		assert.equal(times.waitedMs(granted(2400)), 1200);
	});

	it('should still do so when many callers return during an overload', () => {
		const times = new WaitedTimes();
		times.recordArrival(granted(3600), false);
		for (let count = 0; count < 50; count++) {
			times.recordArrival(granted(2400), true);
		}

		assert.ok(times.waitedMs(granted(2400)) > 1100);
	});

	it('should not take all others for returned when one caller tells a longer deadline during an overload', () => {
		const times = new WaitedTimes();
		for (let count = 0; count < 50; count++) {
			times.recordArrival(granted(3600), false);
		}

		times.recordArrival(granted(10_000), true);
		assert.equal(times.waitedMs(granted(3600)), 0);
		for (let count = 0; count < 200; count++) {
			times.recordArrival(granted(count % 50 === 0 ? 10_000 : 3600), true);
		}

		assert.equal(times.waitedMs(granted(3600)), 0);
	});

	it('should not do so either when that caller asked just before the overload', () => {
		const times = new WaitedTimes();
		for (let count = 0; count < 50; count++) {
			times.recordArrival(granted(3600), false);
		}

		times.recordArrival(granted(10_000), false);
		times.recordArrival(granted(3600), true);
		assert.equal(times.waitedMs(granted(3600)), 0);
	});

	it('should learn within a few requests what first attempts tell if the first that it sees have returned', () => {
		const times = new WaitedTimes();
		times.recordArrival(granted(2400), true);
		for (let count = 0; count < 30; count++) {
			times.recordArrival(granted(count % 2 === 0 ? 3600 : 2400), true);
		}

		assert.ok(times.waitedMs(granted(2400)) > 1100);
		assert.equal(times.waitedMs(granted(3600)), 0);
	});

	it('should conclude nothing where callers tell different deadlines', () => {
		const times = new WaitedTimes();
		for (let count = 0; count < 50; count++) {
			times.recordArrival(granted(count % 2 === 0 ? 3600 : 1500), false);
		}

		assert.equal(times.waitedMs(granted(1500)), 0);
	});
});
