import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {WindowBudget} from './window-budget.js';

const settings = {ratio: 0.2, slack: 56, windowMs: 10_000};

const atOnce = () => 0;

function countAfter(times: readonly number[], fromMs: number): number {
	return times.filter(atMs => atMs > fromMs).length;
}

describe('WindowBudget', () => {
	it('should grant the slack of one instance without any first attempt', () => {
		const budget = new WindowBudget(() => settings, atOnce);
		const granted = Array.from({length: 20}, () => budget.tryTake(0, 13)).filter(Boolean).length;
		assert.equal(granted, 3);
	});

	it('should grant no slack before its time, as the process before may have used it', () => {
		const budget = new WindowBudget(() => settings, () => settings.windowMs);
		assert.equal(budget.tryTake(settings.windowMs - 1, 13), false);
		assert.equal(budget.tryTake(settings.windowMs, 13), true);
	});

	it('should grant a share of the first attempts of the window', () => {
		const budget = new WindowBudget(() => ({...settings, slack: 0}), atOnce);
		for (let index = 0; index < 100; index++) {
			budget.first(index);
		}

		assert.equal(Array.from({length: 40}, () => budget.tryTake(100, 13)).filter(Boolean).length, 17);
		assert.equal(budget.tryTake(20_000, 13), false);
	});

	it('should keep the whole fleet within its bound in every window, however requests fall on instances', () => {
		const event = fc.record({instance: fc.nat(4), gapMs: fc.nat(300), wantsRepeat: fc.boolean()});
		fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
			const instances = 5;
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings, atOnce));
			const firstAtMs: number[] = [];
			const repeatAtMs: number[] = [];
			let nowMs = 0;
			for (const {instance, gapMs, wantsRepeat} of events) {
				nowMs += gapMs;
				fleet[instance]!.first(nowMs);
				firstAtMs.push(nowMs);
				if (wantsRepeat && fleet[instance]!.tryTake(nowMs, instances)) {
					repeatAtMs.push(nowMs);
				}

				const repeats = countAfter(repeatAtMs, nowMs - settings.windowMs);
				// Requests of the window before count too: repeats at its start were granted from them.
				const requests = countAfter(firstAtMs, nowMs - (2 * settings.windowMs));
				assert.ok(repeats <= (requests * settings.ratio) + settings.slack);
			}
		}), {seed: 11, numRuns: 200});
	});

	it('should keep the whole fleet within its bound in every window, whichever instances are killed and start anew', () => {
		const event = fc.record({
			instance: fc.nat(4), gapMs: fc.nat(200), what: fc.constantFrom('request', 'request', 'request', 'kill'),
		});
		fc.assert(fc.property(fc.array(event, {minLength: 100, maxLength: 400}), events => {
			const instances = 5;
			// Without first attempts only the slack is granted, and every instance wants all of it.
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings, atOnce));
			const repeatAtMs: number[] = [];
			let nowMs = 0;
			for (const {instance, gapMs, what} of events) {
				nowMs += gapMs;
				if (what === 'kill') {
					const slackFromMs = nowMs + settings.windowMs;
					fleet[instance] = new WindowBudget(() => settings, () => slackFromMs);
				} else {
					while (fleet[instance]!.tryTake(nowMs, instances)) {
						repeatAtMs.push(nowMs);
					}
				}

				assert.ok(countAfter(repeatAtMs, nowMs - settings.windowMs) <= settings.slack);
			}
		}), {seed: 12, numRuns: 200});
	});
});
