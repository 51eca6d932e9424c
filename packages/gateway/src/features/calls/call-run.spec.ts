import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import type {ServiceId} from '@cairnbank/core';
import {err} from 'neverthrow';
import {
	broken, CallHarness, cancelled, failure, notConnected, refusal, runPendingPromises, success,
} from './call-run-fixture.js';

describe('CallRun', () => {
	const itRuns = (name: string, options: ConstructorParameters<typeof CallHarness>[0], body: (harness: CallHarness) => Promise<void>) => {
		it(name, async () => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				const harness = new CallHarness(options);
				await harness.start();
				await body(harness);
			} finally {
				mock.timers.reset();
			}
		});
	};

	itRuns('should pass on a successful answer and send no further attempt', {idempotent: true}, async harness => {
		await harness.answer(0, success);
		assert.equal(harness.outcome?.type, 'answered');
		await harness.advance(500);
		assert.equal(harness.exchanges.length, 1);
	});

	itRuns('should send the remaining time and the expected upstream in headers', {idempotent: true}, async harness => {
		const {headers} = harness.exchanges[0]!.request;
		assert.equal(headers[headers.indexOf('deadline') + 1], '1000');
		assert.equal(headers[headers.indexOf('expect') + 1], 'u1');
	});

	describe('calls that may end after the stop of the instance', () => {
		// Guards against a call that waited while the stop began, and is sent although the stop may cut it.
		it('should be refused with a short retry delay and sent nowhere', async () => {
			const harness = new CallHarness({idempotent: false});
			harness.stop.begin(999);
			await harness.start();
			assert.deepEqual(harness.outcome, {type: 'not-run', reason: 'leaving', retryAfterMs: 20});
			assert.equal(harness.exchanges.length, 0);
		});

		itRuns('should not be sent to a second upstream once one has refused them', {idempotent: true}, async harness => {
			harness.stop.begin(500);
			await harness.answer(0, refusal);
			assert.deepEqual([harness.outcome?.type, harness.exchanges.length], ['not-run', 1]);
		});

		itRuns('should get a hedge that is expected to end before it, and no other', {idempotent: true}, async harness => {
			harness.stop.begin(500);
			await harness.advance(50);
			assert.equal(harness.exchanges.length, 2);
		});

		itRuns('should get no hedge that is expected to end after it', {idempotent: true}, async harness => {
			harness.stop.begin(80);
			await harness.advance(50);
			assert.equal(harness.exchanges.length, 1);
		});
	});

	describe('faults of the program', () => {
		const fault = new Error('a fault of the program');

		// Guards against calls that never end, and attempts that count as running for ever, after a fault.
		itRuns('should end the call and count its attempt as ended', {idempotent: true}, async harness => {
			harness.exchanges[0]!.fail(fault);
			await runPendingPromises();
			assert.equal(harness.fault, fault);
			assert.equal(harness.conditions[0]!.unreportedInFlight, 0);
		});

		itRuns('should end the call if they come with a further attempt, and cancel those that run', {idempotent: true}, async harness => {
			harness.placementFault = fault;
			await harness.advance(200);
			assert.equal(harness.fault, fault);
			assert.deepEqual(harness.cancelled, ['u1']);
		});
	});

	describe('requests without an available upstream', () => {
		const backingOff = (availableInMs: number) => ({reason: 'upstreams-backing-off', availableInMs}) as const;
		itRuns('should be refused at once if none becomes available within the waiting time', {
			idempotent: true, upstreams: 0, noUpstream: backingOff(700),
		}, async harness => {
			assert.deepEqual(harness.outcome, {type: 'not-run', reason: 'upstreams-backing-off', retryAfterMs: 700});
			assert.equal(harness.clock.monotonicMs(), 0);
		});

		itRuns('should wait if one may become available within the waiting time', {
			idempotent: true, upstreams: 0, noUpstream: backingOff(5),
		}, async harness => {
			assert.equal(harness.outcome?.type, 'not-run');
			assert.ok(harness.clock.monotonicMs() > 0);
		});

		itRuns('should get a retry delay until the upstream that refused them takes requests again', {
			idempotent: false, upstreams: 1, noUpstream: backingOff(300),
		}, async harness => {
			await harness.answer(0, refusal);
			assert.deepEqual(harness.outcome, {type: 'not-run', reason: 'refused-by-upstreams', retryAfterMs: 300});
		});
	});

	describe('requests under which upstreams crash', () => {
		itRuns('should not be retried once as many have crashed as lead to a refusal', {idempotent: true}, async harness => {
			const left = harness.retriesLeft;
			harness.refusedForMs = 1000;
			await harness.answer(0, broken);
			assert.equal(harness.exchanges.length, 1);
			assert.deepEqual(harness.outcome, {type: 'unknown', reason: 'broken'});
			assert.equal(harness.retriesLeft, left);
		});

		itRuns('should not be hedged then', {idempotent: true}, async harness => {
			harness.refusedForMs = 1000;
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 1);
		});

		it('should be refused as not run if that becomes known while they wait for an upstream', async () => {
			const harness = new CallHarness({idempotent: false});
			harness.refusedForMs = 700;
			await harness.start();
			assert.deepEqual(harness.outcome, {type: 'not-run', reason: 'suspected-poison', retryAfterMs: 700});
			assert.equal(harness.exchanges.length, 0);
		});
	});

	describe('requests whose credentials become invalid', () => {
		const keyRemoved = {type: 'unauthenticated', reason: 'key-removed'} as const;

		it('should be refused if that becomes known while they wait for an upstream', async () => {
			const harness = new CallHarness({idempotent: false});
			harness.authenticationRefusal = keyRemoved;
			await harness.start();
			assert.deepEqual(harness.outcome, keyRemoved);
			assert.equal(harness.exchanges.length, 0);
		});

		itRuns('should be refused if no attempt has reached an upstream', {idempotent: false, isConnected: false}, async harness => {
			harness.authenticationRefusal = keyRemoved;
			await harness.answer(0, notConnected);
			assert.deepEqual(harness.outcome, keyRemoved);
			assert.equal(harness.exchanges.length, 1);
		});

		itRuns('should not be retried, and end as the attempt that was sent', {idempotent: true}, async harness => {
			const left = harness.retriesLeft;
			harness.authenticationRefusal = keyRemoved;
			await harness.answer(0, broken);
			assert.equal(harness.exchanges.length, 1);
			assert.deepEqual(harness.outcome, {type: 'unknown', reason: 'broken'});
			assert.equal(harness.retriesLeft, left);
		});

		itRuns('should not be hedged, and pass on the answer to the attempt that was sent', {idempotent: true}, async harness => {
			harness.authenticationRefusal = keyRemoved;
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 1);
			await harness.answer(0, success);
			assert.equal(harness.outcome?.type, 'answered');
		});
	});

	describe('idempotent requests', () => {
		itRuns('should be retried at another upstream after a failure', {idempotent: true}, async harness => {
			await harness.answer(0, broken);
			await harness.answer(1, success);
			assert.deepEqual([harness.outcome?.type, harness.exchanges[1]?.upstream], ['answered', 'u2']);
		});

		itRuns('should be hedged if the first attempt takes long, and the slower attempt is cancelled', {idempotent: true}, async harness => {
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 2);
			await harness.answer(1, success);
			assert.equal(harness.outcome?.type, 'answered');
			assert.deepEqual(harness.cancelled, ['u1']);
		});

		itRuns('should not be hedged while no upstream has a free slot', {idempotent: true}, async harness => {
			harness.isLightlyLoaded = false;
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 1);
			await harness.answer(0, success);
			assert.equal(harness.outcome?.type, 'answered');
		});

		itRuns('should be hedged later if no upstream has a free slot at first', {idempotent: true}, async harness => {
			harness.isLightlyLoaded = false;
			await harness.advance(60);
			harness.isLightlyLoaded = true;
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 1);
			await harness.advance(60);
			assert.equal(harness.exchanges.length, 2);
			await harness.answer(1, success);
			assert.equal(harness.outcome?.type, 'answered');
		});

		itRuns('should be considered for a hedge at growing intervals while no upstream has a free slot', {idempotent: true}, async harness => {
			harness.isLightlyLoaded = false;
			for (let passedMs = 0; passedMs < 990; passedMs += 10) {
				await harness.advance(10);
			}

			const skipped = harness.run.decisions.filter(decision => decision === 'hedge-skipped:all-busy');
			assert.equal(skipped.length, 4);
		});

		itRuns('should count a failure of the first upstream if the hedge is answered first', {idempotent: true}, async harness => {
			await harness.advance(60);
			await harness.answer(1, success);
			await harness.answer(0, cancelled);
			assert.ok(harness.conditions[0]!.failureRatio > 0);
			assert.equal(harness.conditions[1]!.failureRatio, 0);
		});

		itRuns('should count no failure of the hedge\'s upstream if the first attempt is answered after all', {idempotent: true}, async harness => {
			await harness.advance(60);
			await harness.answer(0, success);
			await harness.answer(1, cancelled);
			assert.equal(harness.conditions[1]!.failureRatio, 0);
		});

		itRuns('should never be sent to more upstreams than the route allows, counting retries and hedges together', {idempotent: true}, async harness => {
			await harness.answer(0, failure);
			assert.equal(harness.exchanges.length, 2);
			await harness.advance(500);
			assert.equal(harness.exchanges.length, 2);
			await harness.answer(1, failure);
			assert.equal(harness.exchanges.length, 2);
			assert.equal(harness.outcome?.type === 'answered' && harness.outcome.answer.status, 500);
		});

		itRuns('should not be retried beyond the shared budget', {idempotent: true, slack: 0}, async harness => {
			await harness.answer(0, broken);
			assert.deepEqual([harness.outcome?.type, harness.exchanges.length], ['unknown', 1]);
		});
	});

	// Guards against answers that no bound counts while other attempts are made.
	itRuns('should count a failure answer in the memory of answers as long as another attempt may replace it', {idempotent: true}, async harness => {
		await harness.answer(0, failure);
		assert.equal(harness.answerMemory.bytes, failure.value.body.length);
		await harness.answer(1, success);
		assert.equal(harness.answerMemory.bytes, 0);
	});

	itRuns('should try once more, and end as one that may have run, if an answer outgrows the memory', {idempotent: true}, async harness => {
		await harness.answer(0, err({type: 'answer-outgrown'}));
		await harness.answer(1, err({type: 'answer-outgrown'}));
		assert.deepEqual(harness.outcome, {type: 'unknown', reason: 'answer-outgrown'});
	});

	describe('requests that are not idempotent', () => {
		itRuns('should not be tried again once an answer has outgrown the memory', {idempotent: false}, async harness => {
			await harness.answer(0, err({type: 'answer-outgrown'}));
			assert.deepEqual([harness.outcome, harness.exchanges.length], [{type: 'unknown', reason: 'answer-outgrown'}, 1]);
		});

		itRuns('should never be retried once they may have run', {idempotent: false}, async harness => {
			await harness.answer(0, broken);
			assert.deepEqual([harness.outcome?.type, harness.exchanges.length], ['unknown', 1]);
		});

		itRuns('should not be hedged', {idempotent: false}, async harness => {
			await harness.advance(900);
			assert.equal(harness.exchanges.length, 1);
		});

		itRuns('should be retried at another upstream after a proof that they did not run', {idempotent: false}, async harness => {
			await harness.answer(0, refusal);
			await harness.answer(1, success);
			assert.equal(harness.outcome?.type, 'answered');
		});

		itRuns('should end as not run only if every attempt was refused', {idempotent: false}, async harness => {
			await harness.answer(0, refusal);
			await harness.answer(1, refusal);
			assert.equal(harness.outcome?.type, 'not-run');
		});

		itRuns('should end as unknown after one attempt whose connection broke', {idempotent: false}, async harness => {
			await harness.answer(0, refusal);
			await harness.answer(1, broken);
			assert.equal(harness.outcome?.type, 'unknown');
		});
	});

	describe('upstreams that reset connections when they are full', () => {
		const startAfterResets = async (idempotent: boolean, resets: number) => {
			const harness = new CallHarness({idempotent});
			for (let count = 0; count < resets; count++) {
				harness.fullResets.recordReset('ledger' as ServiceId);
			}

			await harness.start();
			return harness;
		};

		it('should not be taken for such as their connections break, if they tell no load', async () => {
			const harness = new CallHarness({idempotent: true, maximumAttempts: 3});
			await harness.start();
			for (const index of [0, 1, 2]) {
				await harness.answer(index, broken);
			}

			assert.equal(harness.outcome?.type, 'unknown');
			assert.equal(harness.fullResets.needsKnownRoom('ledger' as ServiceId), false);
		});

		it('should be recognised by broken connections, but not by those of upstreams that have crashed', async () => {
			for (const hasCrashed of [false, true]) {
				const harness = new CallHarness({idempotent: true, maximumAttempts: 3});
				harness.hasCrashed = hasCrashed;
				harness.report = {
					running: 3, waiting: 0, slots: 4, slowness: 1,
				};
				await harness.start();
				for (const index of [0, 1, 2]) {
					await harness.answer(index, broken);
				}

				assert.equal(harness.fullResets.needsKnownRoom('ledger' as ServiceId), !hasCrashed);
			}
		});

		it('should get no request that may run only once while none is known to have room', async () => {
			const harness = await startAfterResets(false, 2);
			assert.equal(harness.outcome?.type === 'not-run' && harness.outcome.reason, 'no-known-room');
			assert.equal(harness.exchanges.length, 0);
			assert.equal(harness.clock.monotonicMs(), 20, 'looked again');
		});

		it('should get others, and all before two resets', async () => {
			for (const harness of [await startAfterResets(true, 2), await startAfterResets(false, 1)]) {
				assert.equal(harness.exchanges.length, 1);
				harness.run.abandon();
			}
		});
	});

	describe('upstreams that are all too busy', () => {
		it('should refuse at once, as not run, a request that cannot end in time', async () => {
			const harness = new CallHarness({idempotent: false});
			harness.expectedMs = 1001;
			harness.isLightlyLoaded = false;
			await harness.start();
			assert.deepEqual([harness.outcome?.type, harness.outcome?.type === 'not-run' && harness.outcome.reason], ['not-run', 'too-busy']);
			assert.equal(harness.exchanges.length, 0);
		});
	});

	// Guards against refusals as too busy by idle upstreams whose health checks are answered late.
	describe('upstreams of which no load is known', () => {
		/** More than the placements of a call until its deadline. */
		const placements = 60;
		const start = async (harness: CallHarness) => {
			await harness.start();
			for (let placement = 0; placement < placements; placement++) {
				await runPendingPromises();
			}
		};

		const createHarness = (loadKnownAtMs: number | undefined) => {
			const harness = new CallHarness({idempotent: false});
			harness.expectedMs = 160;
			harness.isLightlyLoaded = false;
			harness.isLoadKnown = false;
			harness.loadKnownAtMs = loadKnownAtMs;
			return harness;
		};

		it('should get a request once they report a free slot, although it may then be late', async () => {
			for (const loadKnownAtMs of [5, 110, 140, 300]) {
				const harness = createHarness(loadKnownAtMs);
				await start(harness);
				assert.equal(harness.outcome, undefined);
				assert.equal(harness.exchanges.length, 1);
				assert.ok(harness.clock.monotonicMs() >= loadKnownAtMs);
				harness.run.abandon();
			}
		});

		it('should get a request at once if none of their health checks is running', async () => {
			const harness = createHarness(undefined);
			await start(harness);
			assert.equal(harness.exchanges.length, 1);
			assert.equal(harness.clock.monotonicMs(), 0);
			harness.run.abandon();
		});

		it('should get a request at once that is likely to be in time wherever it is sent', async () => {
			const harness = createHarness(300);
			harness.expectedMs = 60;
			await start(harness);
			assert.equal(harness.exchanges.length, 1);
			assert.equal(harness.clock.monotonicMs(), 0);
			harness.run.abandon();
		});

		it('should refuse a request as not run once it is known that they are full', async () => {
			const harness = createHarness(110);
			harness.isFullOnceKnown = true;
			await start(harness);
			assert.equal(harness.outcome?.type === 'not-run' && harness.outcome.reason, 'too-busy');
			assert.equal(harness.exchanges.length, 0);
			assert.ok(harness.clock.monotonicMs() >= 110);
		});

		it('should not be waited for any longer than an idle one could answer before the deadline', async () => {
			const harness = createHarness(5000);
			await start(harness);
			assert.equal(harness.outcome?.type, 'not-run');
			assert.equal(harness.exchanges.length, 0);
			assert.ok(harness.clock.monotonicMs() < 1000);
		});
	});

	it('should refuse at once a request that is unlikely to meet its target latency, even if it would meet its deadline', async () => {
		const harness = new CallHarness({idempotent: false});
		harness.expectedMs = 118;
		harness.isLightlyLoaded = false;
		await harness.start();
		assert.equal(harness.outcome?.type === 'not-run' && harness.outcome.reason, 'too-busy');
		assert.equal(harness.exchanges.length, 0);
	});

	it('should send a request that may meet its target latency, as work varies by a third', async () => {
		const harness = new CallHarness({idempotent: false});
		harness.expectedMs = 117;
		harness.isLightlyLoaded = false;
		await harness.start();
		assert.equal(harness.outcome, undefined);
		assert.equal(harness.exchanges.length, 1);
	});

	it('should try a lightly loaded upstream whatever the expected duration, so that a wrong estimate gets corrected', async () => {
		const harness = new CallHarness({idempotent: false});
		harness.expectedMs = 1001;
		await harness.start();
		assert.equal(harness.exchanges.length, 1);
		harness.run.abandon();
	});

	describe('unreachable upstreams', () => {
		itRuns('should count neither as attempts nor against the budget', {idempotent: false, slack: 0}, async harness => {
			await harness.answer(0, notConnected);
			await harness.answer(1, notConnected);
			await harness.answer(2, success);
			assert.equal(harness.outcome?.type, 'answered');
		});

		itRuns('should end a request as not run once all upstreams were tried', {idempotent: true, upstreams: 2}, async harness => {
			await harness.answer(0, notConnected);
			await harness.answer(1, notConnected);
			assert.equal(harness.outcome?.type, 'not-run');
		});
	});

	describe('the deadline', () => {
		itRuns('should end a request that was sent as timed out and cancel its attempt', {idempotent: false}, async harness => {
			await harness.advance(1000);
			assert.equal(harness.outcome?.type, 'timed-out');
			assert.deepEqual(harness.cancelled, ['u1']);
		});

		itRuns('should end a request as timed out if its attempt times out first', {idempotent: false}, async harness => {
			await harness.answer(0, err({type: 'timed-out'} as const));
			assert.equal(harness.outcome?.type, 'timed-out');
		});

		itRuns('should return an answer that is read as the deadline passes', {idempotent: false}, async harness => {
			harness.passTime(1000);
			await harness.answer(0, success);
			assert.equal(harness.outcome?.type, 'answered');
		});

		itRuns('should end a request as not run if it was refused and no other upstream is found yet', {idempotent: false}, async harness => {
			harness.isPlacementBlocked = true;
			await harness.answer(0, refusal);
			await harness.advance(1000);
			assert.deepEqual(harness.outcome, {type: 'not-run', reason: 'refused-by-upstreams', retryAfterMs: 60});
		});

		itRuns('should end a request as timed out if it was refused and is running at another upstream', {idempotent: false}, async harness => {
			await harness.answer(0, refusal);
			await harness.advance(1000);
			assert.equal(harness.outcome?.type, 'timed-out');
		});

		itRuns('should end a request as not run if its connection was still being opened', {idempotent: false, isConnected: false}, async harness => {
			await harness.advance(1000);
			assert.equal(harness.outcome?.type, 'not-run');
			assert.deepEqual(harness.cancelled, ['u1']);
		});

		itRuns('should not count a retry whose connection was still being opened', {idempotent: false, isConnected: false}, async harness => {
			const before = harness.retriesLeft;
			await harness.answer(0, refusal);
			assert.equal(harness.retriesLeft, before - 1);
			await harness.advance(1000);
			await harness.answer(1, cancelled);
			assert.equal(harness.retriesLeft, before);
		});

		itRuns('should end at once if the caller has disconnected', {idempotent: true}, async harness => {
			harness.run.abandon();
			await runPendingPromises();
			assert.equal(harness.outcome?.type, 'abandoned');
			assert.deepEqual(harness.cancelled, ['u1']);
		});
	});
});
