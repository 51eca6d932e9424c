import assert from 'node:assert/strict';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {lapseGraceMs} from '@cairnbank/core/registry';
import fc from 'fast-check';
import {SimulatedStateFleet, upstreams, type SimulatedInstance} from './simulated-state-fleet.js';

/** Time after the last fault in which all instances have to reach the state of the store: 2 s, and the grace period for missing entries that may return. */
const convergenceMs = lapseGraceMs + 2000;
const zones = ['giza', 'maadi'];

/** Number of runs and seed; set both to run more of them: `RESTORE_RUNS=500 RESTORE_SEED=1 node --test …`. */
const numRuns = Number(process.env.RESTORE_RUNS ?? 40);
const seed = Number(process.env.RESTORE_SEED ?? 17);

const fault = fc.oneof(
	fc.record({type: fc.constant('restore' as const), lostRecords: fc.nat(8)}),
	fc.record({type: fc.constantFrom('cut' as const, 'heal' as const, 'restart' as const), index: fc.nat(299)}),
	fc.record({type: fc.constant('configure' as const)}),
	fc.record({type: fc.constant('evacuate' as const), zone: fc.constantFrom(...zones), isOrdered: fc.boolean()}),
	fc.record({type: fc.constantFrom('drain' as const, 'leave' as const), id: fc.constantFrom(...upstreams.slice(1))}),
);
type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;

function inject(fleet: SimulatedStateFleet, event: Fault): void {
	const {writers, store, instances, disconnected} = fleet;
	switch (event.type) {
		case 'restore': {
			fleet.restore(event.lostRecords);
			break;
		}

		case 'cut': {
			disconnected.add(event.index % instances.length);
			break;
		}

		case 'heal': {
			disconnected.delete(event.index % instances.length);
			break;
		}

		case 'restart': {
			fleet.restart(event.index % instances.length);
			break;
		}

		case 'configure': {
			writers.version += 1;
			store.configure(writers.version);
			break;
		}

		case 'evacuate': {
			writers.evacuationOrders.set(event.zone, event.isOrdered);
			store.evacuate(event.zone, event.isOrdered);
			break;
		}

		case 'drain':
		case 'leave': {
			writers.upstreamStates.set(event.id, event.type === 'drain' ? 'draining' : 'gone');
			writers.writeAll();
		}
	}
}

function assertNeverReverted({observed: {versions, revived}}: SimulatedInstance): void {
	assert.deepEqual(versions, versions.toSorted((left, right) => left - right), 'a configuration reverted');
	assert.deepEqual(revived, [], 'an upstream that was draining gets requests again');
}

describe('state of instances across restores of the store', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	it('should equal the state of the store soon after the last fault, and never go back within one incarnation', async () => {
		const step = fc.record({event: fault, afterMs: fc.nat(2500)});
		await fc.assert(fc.asyncProperty(fc.constantFrom(1, 2, 5, 13, 40), fc.array(step, {minLength: 1, maxLength: 10}), async (size, steps) => {
			const fleet = new SimulatedStateFleet(size);
			try {
				await fleet.advance(2000);
				for (const {event, afterMs} of steps) {
					inject(fleet, event);
					await fleet.advance(afterMs);
				}

				fleet.disconnected.clear();
				await fleet.advance(convergenceMs);
				const {version, evacuationOrders, upstreamStates} = fleet.writers;
				const emptied = [...evacuationOrders].filter(([, isOrdered]) => isOrdered).map(([zone]) => zone);
				const serving = [...upstreamStates].filter(([, state]) => state === 'ready').map(([id]) => id);
				for (const instance of fleet.instances) {
					assertNeverReverted(instance);
					assert.equal(instance.observed.versions.at(-1), version);
					assert.deepEqual(instance.observed.emptied, new Set(emptied));
					assert.deepEqual([...instance.observed.serving].toSorted(), serving);
				}
			} finally {
				fleet.stop();
			}
		}), {seed, numRuns, includeErrorInReport: true});
	});
});
