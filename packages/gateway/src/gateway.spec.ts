import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@cairnbank/core';
import {AnswerMemory} from '@cairnbank/core/connections';
import {ok} from 'neverthrow';
import {Gateway} from './gateway.js';
import type {Context} from './kernel/context.js';
import {InFlight} from './kernel/in-flight.js';
import {StopDeadline} from './kernel/stop-deadline.js';
import type {Task} from './kernel/task.js';
import {createMetrics} from './metrics/metrics.js';

const shortGraceMs = 200;
const longGraceMs = 1500;
const noop = () => undefined;

/** Creates a gateway of these tasks, and the list of what they did. */
function gatewayOf(steps: string[], tasks: ReadonlyArray<Partial<Task>>, graceMs = shortGraceMs): {gateway: Gateway; context: Context} {
	const context = {
		settings: {bounds: {graceSeconds: graceMs / 1000}},
		clock: systemClock,
		logger: {
			debug: noop, info: noop, warn: noop, error: noop,
		},
		metrics: createMetrics(),
		stop: new StopDeadline(),
		answerMemory: new AnswerMemory(),
	} as unknown as Context;
	const complete = tasks.map((task, index): Task => {
		const name = `t${index}`;
		return {
			name,
			start: async () => ok(undefined),
			expire() {
				steps.push(`${name} expire`);
			},
			stop() {
				steps.push(`${name} stop`);
			},
			...task,
		};
	});
	return {gateway: new Gateway(context, complete, async () => undefined), context};
}

describe('the stop of a gateway', () => {
	for (const step of ['leave', 'drain', 'isBusy', 'expire', 'stop'] as const) {
		// Guards against a fault in one task that ends the process with all requests unanswered.
		it(`should make all its steps with all other tasks although one throws in "${step}"`, async () => {
			const steps: string[] = [];
			const faulty = {
				[step]() {
					throw new Error('a fault of the program');
				},
			};
			const {gateway, context} = gatewayOf(steps, [{}, faulty, {}]);
			await gateway.stop();
			assert.deepEqual(steps.filter(each => !each.startsWith('t1')), ['t0 expire', 't2 expire', 't2 stop', 't0 stop']);
			const {values} = await context.metrics.unexpectedFaults.get();
			assert.deepEqual(new Set(values.map(({labels}) => labels.place)), new Set(['stop']));
		});
	}

	// Guards against work that arrives once nothing was in flight for a moment.
	it('should wait for work that came between the end of draining and the end of what was in flight', async () => {
		const steps: string[] = [];
		let isInFlight = false;
		let onIdle = noop;
		const {gateway} = gatewayOf(steps, [{
			async drain() {
				if (isInFlight) {
					await new Promise<void>(resolve => {
						onIdle = () => {
							resolve();
							return undefined;
						};
					});
				}
			},
			expire() {
				isInFlight = true;
				setTimeout(() => {
					steps.push('answered');
					onIdle();
				}, 5);
			},
		}]);
		await gateway.stop();
		assert.deepEqual(steps, ['answered', 't0 stop']);
	});

	// Guards against an end of the grace period as soon as each task has had nothing in flight for a moment.
	it('should end nothing before its time that comes to one task while another is waited for', async () => {
		const steps: string[] = [];
		const inFlight = new InFlight<string>();
		let isFirstDrain = true;
		const {gateway} = gatewayOf(steps, [
			{
				drain: async () => inFlight.untilEmpty(),
				isBusy: () => inFlight.size > 0,
			},
			{
				async drain() {
					if (isFirstDrain) {
						isFirstDrain = false;
						inFlight.add('late');
						setTimeout(() => {
							steps.push('answered');
							inFlight.delete('late');
						}, 50);
					}
				},
			},
		], longGraceMs);
		await gateway.stop();
		assert.deepEqual(steps, ['answered', 't0 expire', 't1 expire', 't1 stop', 't0 stop']);
	});
});
