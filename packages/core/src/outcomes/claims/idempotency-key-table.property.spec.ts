/**
 * Tests random interleavings of claims and requests: a key never runs more than once, and after a not-run outcome only
 * a later attempt that counts its predecessors may run.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	actionTypes, keys, KeySimulation, slots,
} from './key-simulation-fixture.js';

const seed = 20_260_302;
/** With the shorter retention the log keeps less than the claim window: this may reduce availability, but never give a wrong outcome. */
const retentionsMs = [400, 1500];
const action = fc.record({type: fc.constantFrom(...actionTypes), slot: fc.nat(slots - 1), pick: fc.nat(11)});

function check(simulation: KeySimulation): void {
	for (let key = 0; key < keys; key += 1) {
		const runs = simulation.sentRuns.filter(run => run.key === key);
		assert.ok(runs.length <= 1, `key ${key} ran ${runs.length} times`);
		for (const callerAttempt of simulation.callerAttempts.filter(each => each.key === key && each.reported?.type === 'not-run')) {
			const later = key % 2 === 1 ? runs.filter(run => run.attempt > callerAttempt.attempt && run.sentAt! > callerAttempt.reportedAt!) : [];
			assert.equal(runs.length - later.length, 0, `key ${key} ran, but a caller got a not-run outcome`);
		}
	}
}

describe('idempotency key table', () => {
	it(`should run each key at most once, and never one that was reported as not run (seed ${seed})`, context => {
		const counts: Record<string, number> = {ran: 0};
		fc.assert(fc.property(fc.constantFrom(...retentionsMs), fc.array(action, {minLength: 20, maxLength: 400, size: 'max'}), (retentionMs, actions) => {
			const simulation = new KeySimulation(retentionMs);
			for (const each of actions) {
				simulation.apply(each);
			}

			check(simulation);
			counts.ran! += simulation.sentRuns.length;
			for (const {reported} of simulation.callerAttempts) {
				const name = reported && 'reason' in reported ? `${reported.type} ${reported.reason}` : (reported?.type ?? 'not reported');
				counts[name] = (counts[name] ?? 0) + 1;
			}
		}), {seed, numRuns: 3000});
		context.diagnostic(`seed ${seed}: ${JSON.stringify(counts)}`);
		const expectedOutcomes = [
			'ran',
			'answered',
			'not-run shed-by-upstream',
			'not-run claim-unproven',
			'not-run key-too-old',
			'unknown claim-unproven',
			'unknown key-too-old',
			'unknown answer-not-held',
			'unknown owner-gone',
			'unknown connection-lost',
		];
		for (const name of expectedOutcomes) {
			assert.ok((counts[name] ?? 0) > 20, `the interleavings must reach ${name}`);
		}
	});
});
