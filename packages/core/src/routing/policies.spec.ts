import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {UpstreamId} from '../model/ids.js';
import {routingPolicySchema} from '../model/routing-policy.js';
import type {AttemptSignal} from './attempt-signal.js';
import {
	chosenBy, completeAttempt, seed, createSelector, upstreamId,
} from './selector-fixture.js';
import type {UpstreamSelector} from './upstream-selector.js';

const policyTypes = routingPolicySchema.options.map(option => option.shape.type.value);

type Step = {
	upstream: number;
	action: 'call' | 'end' | 'drain' | 'undrain' | 'probe';
	signal: AttemptSignal;
	excluded: number;
	afterMs: number;
};

const steps = fc.array(fc.record<Step>({
	upstream: fc.nat({max: 3}),
	action: fc.constantFrom('call', 'call', 'call', 'end', 'drain', 'undrain', 'probe'),
	signal: fc.constantFrom('success', 'failure', 'shed', 'timeout', 'neutral'),
	excluded: fc.nat({max: 3}),
	afterMs: fc.integer({min: 0, max: 50}),
}), {maxLength: 120});

/** Runs a sequence of steps and checks every choice in it. */
function runSteps(selector: UpstreamSelector, sequence: readonly Step[]): void {
	const pending: Array<{upstream: UpstreamId; sentAtMs: number}> = [];
	let nowMs = 0;
	for (const {upstream, action, signal, excluded, afterMs} of sequence) {
		nowMs += afterMs;
		switch (action) {
			case 'call': {
				const chosen = chosenBy(selector, nowMs, new Set([upstreamId(excluded)]));
				if (chosen !== undefined) {
					assertUsable(selector, chosen, nowMs);
					assert.notEqual(chosen, upstreamId(excluded));
					selector.onSent(chosen, nowMs);
					pending.push({upstream: chosen, sentAtMs: nowMs});
				}

				break;
			}

			case 'end': {
				const ended = pending.shift();
				if (ended !== undefined) {
					selector.onEnded(ended.upstream, {
						sentAtMs: ended.sentAtMs, signal, nowMs, report: {inFlight: upstream},
					});
				}

				break;
			}

			case 'probe': {
				selector.onProbe(upstreamId(upstream), {inFlight: excluded}, nowMs);
				break;
			}

			case 'drain':
			case 'undrain': {
				selector.setDraining(upstreamId(upstream), action === 'drain', nowMs);
				break;
			}
		}
	}

	assert.equal(selector.states.reduce((sum, state) => sum + state.inFlight, 0), pending.length);
}

function assertUsable(selector: UpstreamSelector, upstream: UpstreamId, nowMs: number): void {
	const state = selector.stateOf(upstream)!;
	assert.equal(state.isDraining, false);
	assert.ok(state.limit.admits(state.inFlight, nowMs));
}

describe('every policy', () => {
	for (const type of policyTypes) {
		describe(type, () => {
			it('should only choose upstreams that are neither draining, excluded nor at their limit, after any sequence of steps', () => {
				fc.assert(fc.property(steps, sequence => {
					runSteps(createSelector({policy: {type}}), sequence);
				}), {seed, numRuns: 60});
			});

			it('should use every upstream of an idle service', () => {
				const selector = createSelector({policy: {type}});
				const used = new Set<UpstreamId>();
				for (let call = 0; call < 200; call++) {
					const upstream = chosenBy(selector, call)!;
					used.add(upstream);
					completeAttempt(selector, upstream, {nowMs: call, inFlight: 1});
				}

				assert.equal(used.size, 4);
			});
		});
	}
});
