import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	ManualClock, type AvailabilityZoneId, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import type {KeyedSnapshot, RegisteredUpstream, RegistryEvent} from '@cairnbank/core/registry';
import {RegistryState, type RegistryStateOptions} from './registry-state.js';

function snapshotWith(startedAtMs: number, endOffset: number): KeyedSnapshot<RegisteredUpstream> {
	const value: RegisteredUpstream = {
		id: 'u1' as UpstreamId,
		service: 'ledger' as ServiceId,
		host: '10.0.1.1',
		port: 8080,
		availabilityZone: 'nasr' as AvailabilityZoneId,
		slots: 4,
		draining: false,
		warmupMs: 0,
		startedAtMs,
		sequence: 1,
	};
	return {endOffset, records: [{key: value.id, offset: endOffset - 1, value}]};
}

describe('RegistryState', () => {
	it('should keep an upstream that has started again under its id when a snapshot reports it', () => {
		const inUse = new Map<UpstreamId, number>();
		const state = new RegistryState({
			context: {clock: new ManualClock(), logger: {info: () => undefined}},
			onUpstream({type, upstream: {id, startedAtMs}}: RegistryEvent) {
				if (type === 'gone') {
					inUse.delete(id);
				} else {
					inUse.set(id, startedAtMs);
				}
			},
			onUpdate: () => undefined,
		} as unknown as RegistryStateOptions);
		state.applySnapshot(snapshotWith(1000, 5), {type: 'sound'});
		state.applySnapshot(snapshotWith(2000, 9), {type: 'sound'});
		assert.deepEqual([...inUse], [['u1', 2000]]);
	});
});
