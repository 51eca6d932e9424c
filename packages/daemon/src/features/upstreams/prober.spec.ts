import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	availabilityZoneIdSchema, createRandomSource, instanceIdSchema, ManualClock, serviceRulesSchema, serviceSchema,
} from '@cairnbank/core';
import {Registry} from 'prom-client';
import {Prober} from './prober.js';
import {ServiceSelectors} from './service-selectors.js';
import {UpstreamMetrics} from './upstream-metrics.js';

const service = serviceSchema.parse({
	id: 'ledger',
	upstreams: [{
		id: 'ledger-1', address: '127.0.0.1:9001', availabilityZone: 'nasr', slots: 3, connections: 250,
	}],
});
const [upstream] = service.upstreams;
const probes = {perSecondPerUpstream: 2, maximumInstances: 4, slotTimeRatio: 1};
const intervalMs = 2000;

function setUp() {
	const clock = new ManualClock();
	const registry = new Registry();
	const prober = new Prober({
		clock,
		metrics: new UpstreamMetrics(registry, () => []),
		selectors: new ServiceSelectors({
			instance: instanceIdSchema.parse('entry-1'), availabilityZone: availabilityZoneIdSchema.parse('nasr'), random: createRandomSource(1),
		}),
		probeTimeoutMs: 1000,
		poolOf: () => undefined,
	});
	const applyRules = (rules: Record<string, unknown>) => {
		prober.setServices([{id: service.id, upstreams: service.upstreams, rules: serviceRulesSchema.parse({service: 'ledger', probes: rules})}], clock.monotonicMs());
	};

	return {
		clock, registry, prober, applyRules, tryTake: () => prober.tryTake(upstream!.id),
	};
}

describe('prober', () => {
	it('should give an instance its share of the budget, initially empty and without a burst after a pause', () => {
		const {clock, applyRules, tryTake} = setUp();
		applyRules(probes);
		assert.equal(tryTake(), false);
		clock.advance(intervalMs * 10);
		assert.deepEqual([tryTake(), tryTake()], [true, false]);
	});

	it('should keep the used budget when a new configuration has the same rule', () => {
		const {clock, applyRules, tryTake} = setUp();
		applyRules(probes);
		clock.advance(intervalMs);
		assert.equal(tryTake(), true);
		applyRules(probes);
		clock.advance(intervalMs - 1);
		assert.equal(tryTake(), false);
	});

	it('should start with an empty budget when the rule changes', () => {
		const {clock, applyRules, tryTake} = setUp();
		applyRules(probes);
		clock.advance(intervalMs);
		applyRules({...probes, perSecondPerUpstream: 4});
		assert.equal(tryTake(), false);
	});

	it('should count each probe and its slot time', async () => {
		const {clock, registry, applyRules, tryTake} = setUp();
		applyRules(probes);
		clock.advance(intervalMs);
		tryTake();
		tryTake();
		const text = await registry.metrics();
		assert.match(text, /cairnbank_probes_total{service="ledger",upstream="ledger-1"} 1\n/);
		assert.match(text, /cairnbank_probe_slot_seconds_total{service="ledger",upstream="ledger-1"} 0\.006\n/);
	});

	it('should allow no probes of an unknown upstream or one whose rule allows none', () => {
		const {clock, applyRules, tryTake} = setUp();
		assert.equal(tryTake(), false);
		applyRules({perSecondPerUpstream: 0});
		clock.advance(1_000_000);
		assert.equal(tryTake(), false);
	});
});
