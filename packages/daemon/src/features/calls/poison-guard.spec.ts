import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, type UpstreamId} from '@cairnbank/core';
import type {Suspect} from '@cairnbank/core/poison';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {MessageBus} from '../../kernel/message-bus.js';
import type {Call} from './call.js';
import type {CallMetrics} from './call-metrics.js';
import {PoisonGuard} from './poison-guard.js';

const ignore = () => undefined;
const deadlineAtMs = 10_000;
const call = {
	serviceId: 'ledger', method: 'GET', path: '/report', deadlineAtMs,
} as unknown as Call;
const [first, second] = ['u1', 'u2'] as UpstreamId[];

/** Returns a guard and the suspects that it announces. */
function createGuard(): {guard: PoisonGuard; announced: Suspect[]} {
	const clock = new ManualClock();
	const bus = new MessageBus();
	const announced: Suspect[] = [];
	bus.on('suspects-changed', ({suspects}) => {
		announced.push(...suspects);
	});
	const context = {
		clock, bus, logger: {warn: ignore}, settings: {instanceId: 'entry-1', calls: {maximumSuspects: 10}},
	} as unknown as DaemonContext;
	const metrics = {registerSuspectGauge: ignore, countSuspect: ignore} as unknown as CallMetrics;
	return {guard: new PoisonGuard(context, metrics), announced};
}

describe('PoisonGuard', () => {
	describe('when an upstream crashes under a request', () => {
		it('should announce no trial of the run that the crash has ended', () => {
			const {guard, announced} = createGuard();
			guard.recordStart(call, first!);
			guard.recordCrash(first!, call);
			guard.recordOutcome(call, {type: 'unknown', reason: 'connection-lost'});
			assert.deepEqual(announced.map(({trial}) => trial), [undefined]);
		});

		it('should announce a trial where another attempt of the request still runs', () => {
			for (const [crashed, running] of [[first!, second!], [second!, first!]] as const) {
				const {guard, announced} = createGuard();
				guard.recordStart(call, first!);
				guard.recordStart(call, second!);
				guard.recordCrash(crashed, call);
				assert.equal(announced.at(-1)?.trial?.upstream, running);
			}
		});
	});
});
