import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {RecheckTask, type RecheckTaskOptions} from './recheck-task.js';
import type {Upstream} from './upstream.js';

const observedMs = 300;
const stepMs = 10;

/** Returns an upstream that answers, on a path of its own or through another instance. */
function reachableUpstream(id: string, {isRelayed = false, availability = 'available'} = {}): Upstream {
	return {
		registered: {id}, condition: {isUnreachable: false, isHealthCheckDue: false, advisories: {availability: {type: availability}}}, pool: {path: {isRelayed, isOwnLinkCheckDue: false}},
	} as unknown as Upstream;
}

/** Returns the ids of the upstreams that are probed after the task has been scheduled. */
function probedIds(upstreams: readonly Upstream[], mayUse: RecheckTaskOptions['links']['mayUse']): ReadonlySet<string> {
	const probed = new Set<string>();
	const task = new RecheckTask({
		upstreams: () => upstreams,
		prober: {
			async probe({registered}) {
				probed.add(registered.id);
			},
			checkOwnLink: async () => undefined,
		},
		links: {isLost: () => true, mayUse},
	});
	task.schedule();
	for (let atMs = 0; atMs < observedMs; atMs += stepMs) {
		mock.timers.tick(stepMs);
	}

	task.stop();
	return probed;
}

describe('RecheckTask', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	it('should probe in turn the upstreams to which only the link is lost', () => {
		const upstreams = [reachableUpstream('u0'), reachableUpstream('u1')];
		assert.deepEqual(probedIds(upstreams, () => false), new Set(['u0', 'u1']));
	});

	it('should not probe an upstream that is in use or leaves', () => {
		const relayed = reachableUpstream('u0', {isRelayed: true});
		const leaving = reachableUpstream('u1', {availability: 'leaving'});
		assert.deepEqual(probedIds([relayed, leaving], upstream => upstream === relayed), new Set());
	});
});
