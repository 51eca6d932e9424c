import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock, type ServiceId, type UpstreamId} from '@cairnbank/core';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {PathState} from '@cairnbank/core/reachability';
import {createMetrics} from '../../metrics/metrics.js';
import {LinkMonitor, type LinkMonitorOptions} from './link-monitor.js';
import type {Upstream} from './upstream.js';

const silenceMs = 150;
const lostForMs = 1000;
const regainedForMs = 3000;
const upstreamsPerService = 4;

describe('LinkMonitor', () => {
	let clock: ManualClock;
	let monitor: LinkMonitor;
	let hasRelay: boolean;
	let lines: string[];
	let changes: string[];
	const upstreams = new Map<string, readonly Upstream[]>();

	function createUpstream(service: string, index: number): Upstream {
		return {
			registered: {id: `${service}-${index}` as UpstreamId, service: service as ServiceId},
			condition: new UpstreamCondition(clock),
			pool: {path: new PathState(clock)},
		} as unknown as Upstream;
	}

	function loseLinks(service: string): void {
		for (const {registered} of upstreams.get(service)!) {
			monitor.recordFailure(registered, true);
		}

		clock.advance(silenceMs);
		monitor.recordFailure(upstreams.get(service)![0]!.registered, true);
	}

	function answer(service: string): void {
		for (const {registered} of upstreams.get(service)!) {
			monitor.recordAnswer(registered);
		}
	}

	beforeEach(() => {
		clock = new ManualClock();
		hasRelay = true;
		lines = [];
		changes = [];
		for (const service of ['ledger', 'portal']) {
			upstreams.set(service, Array.from({length: upstreamsPerService}, (_, index) => createUpstream(service, index)));
		}

		monitor = new LinkMonitor({
			context: {clock, metrics: createMetrics(), logger: {warn: (event: string) => lines.push(event)}},
			countUpstreams: () => upstreamsPerService,
			peers: () => ({live: 5, reaching: 3}),
			hasRelay: () => hasRelay,
			onChanged(service: string, change: string) {
				changes.push(`${service} ${change}`);
			},
		} as unknown as LinkMonitorOptions);
		answer('ledger');
		answer('portal');
		clock.advance(1);
	});

	it('should log and report the loss and the return of links once', () => {
		loseLinks('ledger');
		loseLinks('ledger');
		answer('ledger');
		answer('ledger');
		assert.deepEqual(lines, ['links to upstreams lost', 'links to upstreams regained']);
		assert.deepEqual(changes, ['ledger lost', 'ledger regained']);
	});

	it('should have an upstream without link checked through another instance', () => {
		const [upstream] = upstreams.get('ledger')!;
		assert.ok(!monitor.shouldTryRelay(upstream!));
		loseLinks('ledger');
		assert.ok(monitor.shouldTryRelay(upstream!));
		assert.ok(!monitor.mayUse(upstream!));
	});

	it('should check it itself where no other instance has links', () => {
		hasRelay = false;
		loseLinks('ledger');
		assert.ok(!monitor.shouldTryRelay(upstreams.get('ledger')![0]!));
	});

	it('should use an upstream that another instance has reached', () => {
		const [upstream] = upstreams.get('ledger')!;
		loseLinks('ledger');
		upstream!.pool.path.recordRelayed();
		assert.ok(monitor.mayUse(upstream!));
		assert.ok(monitor.hasLostLink(upstream!));
	});

	it('should not use it while no other instance passes on requests', () => {
		const [upstream] = upstreams.get('ledger')!;
		loseLinks('ledger');
		upstream!.pool.path.recordRelayed();
		hasRelay = false;
		assert.ok(!monitor.mayUse(upstream!));
	});

	it('should report itself without links only if it has lost those of all services', () => {
		loseLinks('ledger');
		monitor.recordAnswer(upstreams.get('portal')![0]!.registered);
		assert.ok(monitor.reachesUpstreams);
		loseLinks('portal');
		assert.ok(monitor.reachesUpstreams);
		clock.advance(lostForMs);
		assert.ok(!monitor.reachesUpstreams);
	});

	it('should report itself with links again only once they have lasted', () => {
		loseLinks('ledger');
		loseLinks('portal');
		clock.advance(lostForMs);
		assert.ok(!monitor.reachesUpstreams);
		answer('ledger');
		answer('portal');
		assert.ok(!monitor.reachesUpstreams);
		clock.advance(regainedForMs);
		assert.ok(monitor.reachesUpstreams);
	});
});
