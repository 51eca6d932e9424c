import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {probeRulesSchema, type ProbeRules} from '../model/service-rules.js';
import {ProbeBudget} from './probe-budget.js';
import {fleetProbesPerSecond, probeIntervalMs} from './probe-rate.js';

const slots = 4;
const instanceCount = 5;
const seed = 20_261;

type Step = {instance: number; action: 'ask' | 'restart' | 'pause'; afterMs: number; seenInstances: number};

const steps = fc.array(fc.record<Step>({
	instance: fc.nat({max: instanceCount - 1}),
	action: fc.constantFrom('ask', 'ask', 'ask', 'ask', 'restart', 'pause'),
	afterMs: fc.double({min: 0, max: 400, noNaN: true}),
	/** Fleet size as seen by the instance; the budget doesn't use it. */
	seenInstances: fc.integer({min: 0, max: 50}),
}), {maxLength: 400});

const rules = fc.record({
	perSecondPerUpstream: fc.double({min: 0, max: 50, noNaN: true}),
	slotTimeRatio: fc.double({min: 0, max: 0.2, noNaN: true}),
	costMs: fc.constantFrom(0, 1, 6),
}).map(some => probeRulesSchema.parse({...some, maximumInstances: instanceCount}));

/** Runs the steps and returns which instance sent a probe at which time. */
function simulateProbes(parsed: ProbeRules, sequence: readonly Step[]): Array<{instance: number; atMs: number}> {
	const newBudget = (nowMs: number) => new ProbeBudget(probeIntervalMs(parsed, slots), nowMs);
	const budgets = Array.from({length: instanceCount}, () => newBudget(0));
	const pausedUntilMs = Array.from({length: instanceCount}, () => 0);
	const probes: Array<{instance: number; atMs: number}> = [];
	let nowMs = 0;
	for (const {instance, action, afterMs} of sequence) {
		nowMs += afterMs;
		if (action === 'restart') {
			budgets[instance] = newBudget(nowMs);
		} else if (action === 'pause') {
			pausedUntilMs[instance] = nowMs + 5000;
		} else {
			while (nowMs >= pausedUntilMs[instance]! && budgets[instance]!.tryTake(nowMs)) {
				probes.push({instance, atMs: nowMs});
			}
		}
	}

	return probes;
}

describe('probe budget', () => {
	it('should never let the fleet exceed its rate, whatever members are seen, restarted or paused', () => {
		let probed = 0;
		fc.assert(fc.property(rules, steps, (parsed, sequence) => {
			const probes = simulateProbes(parsed, sequence);
			probed += probes.length;
			const perMs = fleetProbesPerSecond(parsed, slots) / 1000;
			for (const [index, {atMs}] of probes.entries()) {
				assert.ok(index + 1 <= (atMs * perMs) + 1e-6, `${index + 1} probes after ${atMs} ms at ${perMs}/ms`);
			}
		}), {seed, numRuns: 300});
		assert.ok(probed > 0);
	});

	it('should keep the interval between two probes of an instance across its restarts and pauses', () => {
		fc.assert(fc.property(rules, steps, (parsed, sequence) => {
			const intervalMs = probeIntervalMs(parsed, slots) ?? Number.POSITIVE_INFINITY;
			const last = new Map<number, number>();
			for (const {instance, atMs} of simulateProbes(parsed, sequence)) {
				assert.ok(atMs - (last.get(instance) ?? 0) >= intervalMs - 1e-6);
				last.set(instance, atMs);
			}
		}), {seed, numRuns: 300});
	});

	it('should use its whole rate when called all the time', () => {
		const parsed = probeRulesSchema.parse({perSecondPerUpstream: 10, slotTimeRatio: 1, maximumInstances: 5});
		const budget = new ProbeBudget(probeIntervalMs(parsed, slots), 0);
		const taken = Array.from({length: 10_000}, (_, nowMs) => budget.tryTake(nowMs + 1)).filter(Boolean);
		assert.equal(taken.length, 20);
	});

	it('should keep slot time within its share even where the rate allows more', () => {
		const parsed = probeRulesSchema.parse({
			perSecondPerUpstream: 1000, slotTimeRatio: 0.01, costMs: 6, maximumInstances: 5,
		});
		assert.ok(Math.abs((fleetProbesPerSecond(parsed, slots) * 6 / (slots * 1000)) - 0.01) < 1e-9);
	});

	it('should allow no probe at a rate of 0', () => {
		const budget = new ProbeBudget(probeIntervalMs(probeRulesSchema.parse({perSecondPerUpstream: 0}), slots), 0);
		assert.equal(budget.tryTake(1e12), false);
	});
});
