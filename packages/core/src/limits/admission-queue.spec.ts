import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {tenantIdSchema} from '../model/ids.js';
import {limitRulesSchema} from '../model/service-rules.js';
import {AdmissionQueue} from './admission-queue.js';
import type {QueuedRequest} from './queued-request.js';

const seed = 20_262;

type RequestFields = Partial<Omit<QueuedRequest<string>, 'tenant'>> & {tenant?: string};

function request(fields: RequestFields): QueuedRequest<string> {
	return {
		priority: 5,
		arrivedAtMs: 0,
		deadlineAtMs: 10_000,
		payload: '',
		...fields,
		tenant: tenantIdSchema.parse(fields.tenant ?? 'a'),
	};
}

function queueOf(rules: Partial<ReturnType<typeof limitRulesSchema.parse>>): AdmissionQueue<string> {
	return new AdmissionQueue<string>(limitRulesSchema.parse(rules));
}

describe('admission queue', () => {
	describe('order', () => {
		it('should take the more important class first, then the earlier deadline', () => {
			const queue = queueOf({});
			queue.offer(request({payload: 'late', deadlineAtMs: 900}), 0);
			queue.offer(request({payload: 'soon', deadlineAtMs: 300}), 0);
			queue.offer(request({payload: 'first', priority: 0}), 0);
			assert.deepEqual([1, 2, 3].map(() => queue.take(1)?.payload), ['first', 'soon', 'late']);
		});

		it('should not starve the least important class', () => {
			const queue = queueOf({});
			queue.offer(request({payload: 'patient', priority: 9}), 0);
			const taken = Array.from({length: 20}, () => {
				queue.offer(request({payload: 'pushy', priority: 0}), 1);
				return queue.take(1)?.payload;
			});
			assert.equal(taken.includes('patient'), true);
		});

		it('should serve tenants of one class in turn', () => {
			const queue = queueOf({});
			for (let index = 0; index < 6; index++) {
				queue.offer(request({payload: 'noisy', tenant: 'noisy', deadlineAtMs: 100}), 0);
			}

			queue.offer(request({payload: 'quiet', tenant: 'quiet', deadlineAtMs: 200}), 0);
			const taken = [1, 2].map(() => queue.take(1)?.payload);
			assert.deepEqual(new Set(taken), new Set(['noisy', 'quiet']));
		});
	});

	describe('refusal', () => {
		it('should evict the least important request when full', () => {
			const queue = queueOf({queueLength: 2});
			queue.offer(request({payload: 'low', priority: 9}), 0);
			queue.offer(request({payload: 'middle'}), 0);
			const result = queue.offer(request({payload: 'high', priority: 0}), 0);
			assert.equal(result.type === 'queued' && result.evicted?.payload, 'low');
		});

		it('should refuse a new request that is the least important, with a time to retry after', () => {
			const queue = queueOf({queueLength: 1});
			queue.offer(request({priority: 0}), 0);
			const result = queue.offer(request({priority: 9}), 0);
			assert.equal(result.type === 'shed' && result.reason, 'queue-full');
			assert.ok(result.retryAfterMs > 0);
		});

		it('should hold a tenant to its share while others wait', () => {
			const queue = queueOf({queueLength: 10, tenantRatio: 0.3});
			queue.offer(request({tenant: 'quiet'}), 0);
			const results = Array.from({length: 5}, () => queue.offer(request({tenant: 'noisy', arrivedAtMs: 1}), 1).type);
			assert.deepEqual(results, ['queued', 'queued', 'queued', 'shed', 'shed']);
		});

		it('should refuse at once a request that would not be started in time', () => {
			const queue = queueOf({queueWaitMs: 100});
			for (let nowMs = 0; nowMs <= 200; nowMs += 50) {
				queue.offer(request({arrivedAtMs: nowMs}), nowMs);
				queue.offer(request({arrivedAtMs: nowMs}), nowMs);
				queue.take(nowMs + 50);
			}

			assert.equal(queue.length, 1);
			assert.equal(queue.offer(request({arrivedAtMs: 250}), 250).type, 'queued');
			assert.equal(queue.offer(request({arrivedAtMs: 250}), 250).type, 'shed');
			assert.equal(queue.offer(request({arrivedAtMs: 250, priority: 0}), 250).type, 'queued');
		});

		it('should return the requests that waited too long', () => {
			const queue = queueOf({queueWaitMs: 100});
			queue.offer(request({payload: 'stale'}), 0);
			queue.offer(request({payload: 'fresh', arrivedAtMs: 60}), 60);
			assert.deepEqual(queue.expire(100).map(expired => expired.payload), ['stale']);
			assert.equal(queue.nextExpiryMs(), 160);
		});
	});

	it('should stay bounded and neither lose nor duplicate a request', () => {
		const step = fc.record({
			priority: fc.integer({min: 0, max: 9}),
			tenant: fc.constantFrom('a', 'b', 'c'),
			waitMs: fc.integer({min: 0, max: 40}),
			takes: fc.integer({min: 0, max: 2}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			const queue = queueOf({queueLength: 8, queueWaitMs: 60});
			const endCounts = new Map<string, number>();
			const recordEnd = (ended: QueuedRequest<string> | undefined) => ended && endCounts.set(ended.payload, (endCounts.get(ended.payload) ?? 0) + 1);
			let nowMs = 0;
			for (const [index, {priority, tenant, waitMs, takes}] of steps.entries()) {
				nowMs += waitMs;
				for (const expired of queue.expire(nowMs)) {
					recordEnd(expired);
				}

				const offered = request({
					payload: `${index}`, priority, tenant, arrivedAtMs: nowMs, deadlineAtMs: nowMs + 1000,
				});
				const result = queue.offer(offered, nowMs);
				recordEnd(result.type === 'shed' ? offered : result.evicted);
				for (let taken = 0; taken < takes; taken++) {
					recordEnd(queue.take(nowMs));
				}

				assert.ok(queue.length <= 8);
			}

			assert.equal(endCounts.size + queue.length, steps.length);
			assert.ok([...endCounts.values()].every(count => count === 1));
		}), {seed, numRuns: 200});
	});
});
