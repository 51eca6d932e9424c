import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {FleetShare} from '../fleet/fleet-share.js';
import {WindowBudget, type RetryGrant} from './window-budget.js';

const settings = {ratio: 0.2, slack: 56, windowMs: 10_000};

const held = (instances: number): FleetShare => ({type: 'held', instances});
const none: FleetShare = {type: 'none', reason: 'learning'};

/** Takes all retries that are left in the budget. */
function takeAll(budget: WindowBudget, nowMs: number, instances: number): readonly RetryGrant[] {
	const grants: RetryGrant[] = [];
	for (let grant = budget.tryTake(nowMs, held(instances)); grant !== undefined; grant = budget.tryTake(nowMs, held(instances))) {
		grants.push(grant);
	}

	return grants;
}

/** Takes one retry that ends at once. */
function takeOne(budget: WindowBudget, nowMs: number, share: FleetShare): boolean {
	const grant = budget.tryTake(nowMs, share);
	grant?.complete(nowMs);
	return grant !== undefined;
}

function countInWindow(times: readonly number[], endMs: number): number {
	return times.filter(atMs => atMs > endMs - settings.windowMs && atMs <= endMs).length;
}

/** Returns the bound on retries in a window: it uses the requests of this window, of the one before or of the one half a window before, whichever has most. */
function allowedRetries(sentAtMs: readonly number[], endMs: number): number {
	const requests = [0, settings.windowMs / 2, settings.windowMs].map(earlierMs => countInWindow(sentAtMs, endMs - earlierMs));
	return (Math.max(...requests) * settings.ratio) + settings.slack;
}

function countAfter(times: readonly number[], fromMs: number): number {
	return times.filter(atMs => atMs > fromMs).length;
}

describe('WindowBudget', () => {
	it('should grant the slack of one instance without any first attempt', () => {
		const budget = new WindowBudget(() => settings);
		const granted = Array.from({length: 20}, () => takeOne(budget, 0, held(13))).filter(Boolean).length;
		assert.equal(granted, 3);
	});

	it('should take back a retry that was granted but not sent', () => {
		const budget = new WindowBudget(() => settings);
		const grants = takeAll(budget, 0, 13);
		assert.equal(takeOne(budget, 0, held(13)), false);
		grants[0]!.cancel();
		assert.equal(takeOne(budget, 0, held(13)), true);
	});

	it('should count a retry until a window after its end', () => {
		const budget = new WindowBudget(() => settings);
		for (const grant of takeAll(budget, 0, 13)) {
			grant.complete(3000);
		}

		assert.equal(takeOne(budget, 3000 + settings.windowMs - 1, held(13)), false);
		assert.equal(takeOne(budget, 3000 + settings.windowMs, held(13)), true);
	});

	it('should grant no slack without a fleet share, as the previous process may have used it', () => {
		const budget = new WindowBudget(() => settings);
		assert.equal(takeOne(budget, settings.windowMs, none), false);
		assert.equal(takeOne(budget, settings.windowMs, held(13)), true);
	});

	it('should grant a share of the first attempts of the window, limited by those of the window before', () => {
		const budget = new WindowBudget(() => ({...settings, slack: 0}));
		const note = (count: number, fromMs: number) => {
			for (let index = 0; index < count; index++) {
				budget.recordFirstAttempt(fromMs + index);
			}
		};

		const grantedAt = (nowMs: number) => Array.from({length: 40}, () => takeOne(budget, nowMs, held(13))).filter(Boolean).length;
		note(50, 0);
		assert.equal(grantedAt(100), 0);
		note(100, settings.windowMs);
		assert.equal(grantedAt(settings.windowMs + 100), 9);
		note(100, 2 * settings.windowMs);
		assert.equal(grantedAt((2 * settings.windowMs) + 100), 18);
		assert.equal(grantedAt(50_000), 0);
	});

	it('should keep the whole fleet within its bound in every window, however requests are distributed over instances', () => {
		const event = fc.record({instance: fc.nat(4), gapMs: fc.nat(300), wantsRepeat: fc.boolean()});
		fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
			const instances = 5;
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings));
			const firstAtMs: number[] = [];
			const retryAtMs: number[] = [];
			let nowMs = 0;
			for (const {instance, gapMs, wantsRepeat} of events) {
				nowMs += gapMs;
				fleet[instance]!.recordFirstAttempt(nowMs);
				firstAtMs.push(nowMs);
				if (wantsRepeat && takeOne(fleet[instance]!, nowMs, held(instances))) {
					retryAtMs.push(nowMs);
				}

				const retries = countAfter(retryAtMs, nowMs - settings.windowMs);
				assert.ok(retries <= allowedRetries(firstAtMs, nowMs));
			}
		}), {seed: 11, numRuns: 200});
	});

	it('should keep the whole fleet within its bound in every window, whichever instances are killed and restarted', () => {
		const event = fc.record({
			instance: fc.nat(4), gapMs: fc.nat(200), action: fc.constantFrom('request', 'request', 'request', 'kill'),
		});
		fc.assert(fc.property(fc.array(event, {minLength: 100, maxLength: 400}), events => {
			const instances = 5;
			// Without first attempts only the slack is granted, and every instance wants all of it.
			const fleet = Array.from({length: instances}, () => ({budget: new WindowBudget(() => settings), shareFromMs: 0}));
			const retryAtMs: number[] = [];
			let nowMs = 0;
			for (const {instance, gapMs, action} of events) {
				nowMs += gapMs;
				if (action === 'kill') {
					fleet[instance] = {budget: new WindowBudget(() => settings), shareFromMs: nowMs + settings.windowMs};
				} else {
					const {budget, shareFromMs} = fleet[instance]!;
					while (takeOne(budget, nowMs, nowMs < shareFromMs ? none : held(instances))) {
						retryAtMs.push(nowMs);
					}
				}

				assert.ok(countAfter(retryAtMs, nowMs - settings.windowMs) <= settings.slack);
			}
		}), {seed: 12, numRuns: 200});
	});

	it('should keep the fleet within its bound where retries arrive long after they were granted', () => {
		const stall = fc.record({fromMs: fc.nat(30_000), forMs: fc.integer({min: 500, max: 3000})});
		fc.assert(fc.property(fc.array(stall, {maxLength: 8}), stalls => {
			const instances = 5;
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings));
			const arrivedAtMs: number[] = [];
			let inFlight: Array<{readonly grant: RetryGrant; readonly arrivesAtMs: number}> = [];
			for (let nowMs = 0; nowMs < 40_000; nowMs += 100) {
				const resumesAtMs = Math.max(nowMs, ...stalls.filter(({fromMs, forMs}) => nowMs >= fromMs && nowMs < fromMs + forMs).map(({fromMs, forMs}) => fromMs + forMs));
				for (const {grant, arrivesAtMs} of inFlight.filter(({arrivesAtMs}) => arrivesAtMs <= nowMs)) {
					grant.complete(arrivesAtMs);
				}

				inFlight = inFlight.filter(({arrivesAtMs}) => arrivesAtMs > nowMs);
				for (const budget of fleet) {
					const grants = takeAll(budget, nowMs, instances);
					arrivedAtMs.push(...grants.map(() => resumesAtMs));
					inFlight.push(...grants.map(grant => ({grant, arrivesAtMs: resumesAtMs})));
				}
			}

			assert.ok(arrivedAtMs.length > settings.slack);
			for (const atMs of arrivedAtMs) {
				assert.ok(arrivedAtMs.filter(other => other > atMs - settings.windowMs && other <= atMs).length <= settings.slack);
			}
		}), {seed: 13, numRuns: 50});
	});

	it('should keep the fleet within its bound where a burst of requests ends before its retries do', () => {
		const burst = fc.record({
			startMs: fc.integer({min: 20_000, max: 30_000}), durationMs: fc.integer({min: 1000, max: 12_000}),
			requestsPerSecond: fc.integer({min: 20, max: 100}), failsAfterMs: fc.nat(12_000),
		});
		fc.assert(fc.property(burst, ({startMs, durationMs, requestsPerSecond, failsAfterMs}) => {
			const instances = 5;
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings));
			const sentAtMs: number[] = [];
			const retriedAtMs: number[] = [];
			for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
				const perSecond = nowMs >= startMs && nowMs < startMs + durationMs ? requestsPerSecond : 2;
				const dueRequests = Math.floor((nowMs + 100) * perSecond / 1000) - Math.floor(nowMs * perSecond / 1000);
				for (const budget of fleet) {
					for (let index = 0; index < dueRequests; index++) {
						budget.recordFirstAttempt(nowMs);
						sentAtMs.push(nowMs);
					}

					if (nowMs >= startMs + failsAfterMs) {
						const grants = takeAll(budget, nowMs, instances);
						retriedAtMs.push(...grants.map(() => nowMs));
						for (const grant of grants) {
							grant.complete(nowMs);
						}
					}
				}
			}

			for (let endMs = startMs; endMs < 60_000; endMs += 100) {
				assert.ok(countInWindow(retriedAtMs, endMs) <= allowedRetries(sentAtMs, endMs));
			}
		}), {seed: 14, numRuns: 50});
	});

	it('should keep the fleet within its bound where all callers move from some instances to others', () => {
		const move = fc.record({failsBeforeMs: fc.nat(10_000), requestsPerSecond: fc.integer({min: 5, max: 40})});
		fc.assert(fc.property(move, ({failsBeforeMs, requestsPerSecond}) => {
			const instances = 10;
			const movesAtMs = 30_000;
			const fleet = Array.from({length: instances}, () => new WindowBudget(() => settings));
			const sentAtMs: number[] = [];
			const retriedAtMs: number[] = [];
			for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
				const dueRequests = Math.floor((nowMs + 100) * requestsPerSecond / 1000) - Math.floor(nowMs * requestsPerSecond / 1000);
				const isFailing = nowMs >= movesAtMs - failsBeforeMs;
				const inUse = nowMs < movesAtMs ? fleet.slice(0, instances / 2) : fleet.slice(instances / 2);
				for (const budget of inUse) {
					for (let index = 0; index < dueRequests; index++) {
						budget.recordFirstAttempt(nowMs);
						sentAtMs.push(nowMs);
						// Each failed request wants one retry.
						if (isFailing && takeOne(budget, nowMs, held(instances))) {
							retriedAtMs.push(nowMs);
						}
					}
				}
			}

			for (let endMs = 20_000; endMs < 60_000; endMs += 100) {
				assert.ok(countInWindow(retriedAtMs, endMs) <= allowedRetries(sentAtMs, endMs), `${countInWindow(retriedAtMs, endMs)} of ${allowedRetries(sentAtMs, endMs)}`);
			}
		}), {seed: 15, numRuns: 50});
	});
});
