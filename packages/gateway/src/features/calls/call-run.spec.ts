import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {err} from 'neverthrow';
import {
	broken, CallWorld, cancelled, failure, notConnected, refusal, settled, success,
} from './call-run-fixture.js';

describe('CallRun', () => {
	const inWorld = (name: string, options: ConstructorParameters<typeof CallWorld>[0], body: (world: CallWorld) => Promise<void>) => {
		it(name, async () => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				const world = new CallWorld(options);
				await world.start();
				await body(world);
			} finally {
				mock.timers.reset();
			}
		});
	};

	inWorld('should pass on an answer and send nothing more', {idempotent: true}, async world => {
		await world.answer(0, success);
		assert.equal(world.outcome?.type, 'answered');
		await world.pass(500);
		assert.equal(world.exchanges.length, 1);
	});

	inWorld('should tell the upstream what time is left', {idempotent: true}, async world => {
		const {headers} = world.exchanges[0]!.request;
		assert.equal(headers[headers.indexOf('deadline') + 1], '1000');
		assert.equal(headers[headers.indexOf('expect') + 1], 'u1');
	});

	describe('while no upstream takes requests', () => {
		const backingOff = (availableInMs: number) => ({reason: 'upstreams-backing-off', availableInMs}) as const;
		inWorld('should be refused at once where none takes any within the time for which they are held', {
			idempotent: true, upstreams: 0, noUpstream: backingOff(700),
		}, async world => {
			assert.deepEqual(world.outcome, {type: 'not-run', reason: 'upstreams-backing-off', retryAfterMs: 700});
			assert.equal(world.clock.monotonicMs(), 0);
		});

		inWorld('should be held where one may take them in that time', {
			idempotent: true, upstreams: 0, noUpstream: backingOff(5),
		}, async world => {
			assert.equal(world.outcome?.type, 'not-run');
			assert.ok(world.clock.monotonicMs() > 0);
		});

		inWorld('should be told when one that has turned them away takes requests again', {
			idempotent: false, upstreams: 1, noUpstream: backingOff(300),
		}, async world => {
			await world.answer(0, refusal);
			assert.deepEqual(world.outcome, {type: 'not-run', reason: 'refused-by-upstreams', retryAfterMs: 300});
		});
	});

	describe('idempotent requests', () => {
		inWorld('should be repeated elsewhere after a failure', {idempotent: true}, async world => {
			await world.answer(0, broken);
			await world.answer(1, success);
			assert.deepEqual([world.outcome?.type, world.exchanges[1]?.upstream], ['answered', 'u2']);
		});

		inWorld('should get an early second attempt where the first takes long, and the loser is given up', {idempotent: true}, async world => {
			await world.pass(60);
			assert.equal(world.exchanges.length, 2);
			await world.answer(1, success);
			assert.equal(world.outcome?.type, 'answered');
			assert.deepEqual(world.cancelled, ['u1']);
		});

		inWorld('should get no early second attempt where no upstream has a slot to spare', {idempotent: true}, async world => {
			world.isLightlyLoaded = false;
			await world.pass(60);
			assert.equal(world.exchanges.length, 1);
			await world.answer(0, success);
			assert.equal(world.outcome?.type, 'answered');
		});

		inWorld('should get that second attempt later where no upstream has a slot to spare at first', {idempotent: true}, async world => {
			world.isLightlyLoaded = false;
			await world.pass(60);
			world.isLightlyLoaded = true;
			await world.pass(60);
			assert.equal(world.exchanges.length, 1);
			await world.pass(60);
			assert.equal(world.exchanges.length, 2);
			await world.answer(1, success);
			assert.equal(world.outcome?.type, 'answered');
		});

		inWorld('should be looked after ever more seldom while no upstream has a slot to spare', {idempotent: true}, async world => {
			world.isLightlyLoaded = false;
			for (let passedMs = 0; passedMs < 990; passedMs += 10) {
				await world.pass(10);
			}

			const skipped = world.run.decisions.filter(decision => decision === 'hedge-skipped:all-busy');
			assert.equal(skipped.length, 4);
		});

		inWorld('should speak against an upstream that a later attempt elsewhere overtook', {idempotent: true}, async world => {
			await world.pass(60);
			await world.answer(1, success);
			await world.answer(0, cancelled);
			assert.ok(world.conditions[0]!.failureRatio > 0);
			assert.equal(world.conditions[1]!.failureRatio, 0);
		});

		inWorld('should not speak against the later attempt where the first is answered after all', {idempotent: true}, async world => {
			await world.pass(60);
			await world.answer(0, success);
			await world.answer(1, cancelled);
			assert.equal(world.conditions[1]!.failureRatio, 0);
		});

		inWorld('should never be sent to more upstreams than the route allows, also by an early attempt beside a repeat', {idempotent: true}, async world => {
			await world.answer(0, failure);
			assert.equal(world.exchanges.length, 2);
			await world.pass(500);
			assert.equal(world.exchanges.length, 2);
			await world.answer(1, failure);
			assert.equal(world.exchanges.length, 2);
			assert.equal(world.outcome?.type === 'answered' && world.outcome.answer.status, 500);
		});

		inWorld('should not be repeated past the shared budget', {idempotent: true, slack: 0}, async world => {
			await world.answer(0, broken);
			assert.deepEqual([world.outcome?.type, world.exchanges.length], ['unknown', 1]);
		});
	});

	describe('requests that are not idempotent', () => {
		inWorld('should never be sent again once they may have run', {idempotent: false}, async world => {
			await world.answer(0, broken);
			assert.deepEqual([world.outcome?.type, world.exchanges.length], ['unknown', 1]);
		});

		inWorld('should get no early second attempt', {idempotent: false}, async world => {
			await world.pass(900);
			assert.equal(world.exchanges.length, 1);
		});

		inWorld('should go elsewhere after a proof that they did not run', {idempotent: false}, async world => {
			await world.answer(0, refusal);
			await world.answer(1, success);
			assert.equal(world.outcome?.type, 'answered');
		});

		inWorld('should be told "not run" only where every attempt was refused', {idempotent: false}, async world => {
			await world.answer(0, refusal);
			await world.answer(1, refusal);
			assert.equal(world.outcome?.type, 'not-run');
		});

		inWorld('should be told "may have run" after one attempt that broke', {idempotent: false}, async world => {
			await world.answer(0, refusal);
			await world.answer(1, broken);
			assert.equal(world.outcome?.type, 'unknown');
		});
	});

	describe('upstreams that are all too busy', () => {
		it('should refuse at once, as not run, what cannot end in time', async () => {
			const world = new CallWorld({idempotent: false});
			world.expectedMs = 1001;
			world.isLightlyLoaded = false;
			await world.start();
			assert.deepEqual([world.outcome?.type, world.outcome?.type === 'not-run' && world.outcome.reason], ['not-run', 'too-busy']);
			assert.equal(world.exchanges.length, 0);
		});
	});

	it('should refuse at once what can hardly end within its target latency, though before its deadline', async () => {
		const world = new CallWorld({idempotent: false});
		world.expectedMs = 118;
		world.isLightlyLoaded = false;
		await world.start();
		assert.equal(world.outcome?.type === 'not-run' && world.outcome.reason, 'too-busy');
		assert.equal(world.exchanges.length, 0);
	});

	it('should send what may end within its target latency, as work varies by a third', async () => {
		const world = new CallWorld({idempotent: false});
		world.expectedMs = 117;
		world.isLightlyLoaded = false;
		await world.start();
		assert.equal(world.outcome, undefined);
		assert.equal(world.exchanges.length, 1);
	});

	it('should try an upstream lightly loaded whatever is expected, so that a wrong estimate is put right', async () => {
		const world = new CallWorld({idempotent: false});
		world.expectedMs = 1001;
		await world.start();
		assert.equal(world.exchanges.length, 1);
		world.run.abandon();
	});

	describe('upstreams that cannot be reached', () => {
		inWorld('should count neither as attempts nor against the budget', {idempotent: false, slack: 0}, async world => {
			await world.answer(0, notConnected);
			await world.answer(1, notConnected);
			await world.answer(2, success);
			assert.equal(world.outcome?.type, 'answered');
		});

		inWorld('should end a request as not run once all were tried', {idempotent: true, upstreams: 2}, async world => {
			await world.answer(0, notConnected);
			await world.answer(1, notConnected);
			assert.equal(world.outcome?.type, 'not-run');
		});
	});

	describe('the end of the time', () => {
		inWorld('should end a request that was sent as timed out and give up its attempt', {idempotent: false}, async world => {
			await world.pass(1000);
			assert.equal(world.outcome?.type, 'timed-out');
			assert.deepEqual(world.cancelled, ['u1']);
		});

		inWorld('should end it so as well where the attempt\'s own time ends first', {idempotent: false}, async world => {
			await world.answer(0, err({type: 'timed-out'} as const));
			assert.equal(world.outcome?.type, 'timed-out');
		});

		inWorld('should end a request as not run that was refused and for which no other upstream is found yet', {idempotent: false}, async world => {
			world.isPlacingHeld = true;
			await world.answer(0, refusal);
			await world.pass(1000);
			assert.deepEqual(world.outcome, {type: 'not-run', reason: 'refused-by-upstreams', retryAfterMs: 60});
		});

		inWorld('should end a request as timed out that was refused and is under way at another upstream', {idempotent: false}, async world => {
			await world.answer(0, refusal);
			await world.pass(1000);
			assert.equal(world.outcome?.type, 'timed-out');
		});

		inWorld('should end a request as not run whose connection was still being opened', {idempotent: false, isConnected: false}, async world => {
			await world.pass(1000);
			assert.equal(world.outcome?.type, 'not-run');
			assert.deepEqual(world.cancelled, ['u1']);
		});

		inWorld('should not count a repeat whose connection was still being opened', {idempotent: false, isConnected: false}, async world => {
			const before = world.repeatsLeft;
			await world.answer(0, refusal);
			assert.equal(world.repeatsLeft, before - 1);
			await world.pass(1000);
			await world.answer(1, cancelled);
			assert.equal(world.repeatsLeft, before);
		});

		inWorld('should end at once where the caller has gone', {idempotent: true}, async world => {
			world.run.abandon();
			await settled();
			assert.equal(world.outcome?.type, 'abandoned');
			assert.deepEqual(world.cancelled, ['u1']);
		});
	});
});
