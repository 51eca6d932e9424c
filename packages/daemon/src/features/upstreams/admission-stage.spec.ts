import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {
	ManualClock, requestClassSchema, serviceIdSchema, serviceRulesSchema, tenantIdSchema,
} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import {Registry} from 'prom-client';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';
import {AdmissionStage} from './admission-stage.js';
import {UpstreamMetrics} from './upstream-metrics.js';

const service = serviceIdSchema.parse('ledger');
const streamed: Outcome = {type: 'streamed', statusCode: 200};

describe('admission stage', () => {
	const stages: AdmissionStage[] = [];

	afterEach(() => {
		for (const stage of stages.splice(0)) {
			stage.stop();
		}
	});

	function setUp(queueLength: number) {
		const clock = new ManualClock();
		const state = {freeSlots: 0, started: [] as number[]};
		const stage = new AdmissionStage({
			clock,
			metrics: new UpstreamMetrics(new Registry(), () => []),
			isAtLimit: () => state.freeSlots === 0,
		});
		stages.push(stage);
		const handler = stage.wrap(async call => {
			state.freeSlots--;
			state.started.push(call.requestClass.priority);
			return streamed;
		});
		const rules = serviceRulesSchema.parse({service, limits: {queueLength}});
		const createCall = (priority: number): Call => ({
			serviceId: service,
			service: {id: service, upstreams: [], rules},
			tenant: tenantIdSchema.parse(`tenant-${priority}`),
			requestClass: requestClassSchema.parse({id: `class-${priority}`, match: {}, priority}),
			deadlineAtMs: 10_000,
			cancellation: new Cancellation(),
		} as unknown as Call);
		return {
			state, stage, handler, createCall,
		};
	}

	it('should pass a call on immediately while there are free slots', async () => {
		const {state, handler, createCall} = setUp(10);
		state.freeSlots = 1;
		assert.deepEqual(await handler(createCall(5)), streamed);
	});

	it('should queue calls at the limit and start them by priority, as many as there are free slots', async () => {
		const {state, stage, handler, createCall} = setUp(10);
		const calls = [5, 0, 3].map(async priority => handler(createCall(priority)));
		assert.deepEqual(state.started, []);
		state.freeSlots = 2;
		stage.onSlotFreed(service);
		assert.deepEqual(state.started, [0, 3]);
		state.freeSlots = 1;
		stage.onSlotFreed(service);
		assert.deepEqual(await Promise.all(calls), [streamed, streamed, streamed]);
	});

	it('should not let a new call overtake queued calls', () => {
		const {state, handler, createCall} = setUp(10);
		void handler(createCall(3));
		state.freeSlots = 1;
		void handler(createCall(5));
		assert.deepEqual(state.started, [3]);
	});

	it('should refuse the least important call immediately as not run, with a time to retry after', async () => {
		const {handler, createCall} = setUp(1);
		const leastImportant = handler(createCall(9));
		void handler(createCall(0));
		const outcome = await leastImportant;
		assert.equal(outcome.type === 'not-run' && outcome.reason, 'queue-full');
		assert.ok(outcome.type === 'not-run' && outcome.retryAfterMs! > 0);
	});

	it('should drop a queued call whose caller has disconnected', async () => {
		const {state, stage, handler, createCall} = setUp(10);
		const call = createCall(5);
		const outcome = handler(call);
		call.cancellation.cancel('caller-gone');
		assert.deepEqual(await outcome, {type: 'not-run', reason: 'caller-gone'});
		state.freeSlots = 1;
		stage.onSlotFreed(service);
		assert.deepEqual(state.started, []);
	});
});
