import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	ManualClock, type AvailabilityZoneId, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import type {FleetMember} from '@cairnbank/core/fleet';
import {unknownEpoch, type KeyedChange, type RegisteredUpstream} from '@cairnbank/core/registry';
import {createMetrics} from '../../metrics/metrics.js';
import {encodeState} from '../fleet/state-body.js';
import {StateTask, type StateTaskOptions} from './state-task.js';

/** Ten upstreams for each of 300 instances; all of them register within some seconds when a site starts. */
const upstreamCount = 3000;
/** The follower reads a batch of new records every 150 ms. */
const batches = 20;

function createState(): StateTask {
	return new StateTask({
		context: {
			clock: new ManualClock(), random: {next: () => 0}, logger: {info: () => undefined}, metrics: createMetrics(), settings: {isFirstStart: true},
		},
		store: {},
		readerRole: () => ({isFollower: false}),
		onUpstream: () => undefined,
		onUpdate: () => undefined,
	} as unknown as StateTaskOptions);
}

function record(offset: number): KeyedChange<RegisteredUpstream> {
	const id = `i-${(offset * 2_654_435_761 % 4_294_967_296).toString(16)}` as UpstreamId;
	return {
		offset,
		key: id,
		value: {
			id,
			service: 'ledger' as ServiceId,
			host: `10.0.${Math.floor(offset / 250)}.${offset % 250}`,
			port: 8080,
			availabilityZone: 'nasr' as AvailabilityZoneId,
			slots: 3,
			draining: false,
			warmupMs: 0,
			startedAtMs: 0,
			sequence: 1,
		},
	};
}

describe('state handed over between instances', () => {
	it('should transfer about one whole state in total while thousands of upstreams register, not one for each batch', async () => {
		const [follower, other] = [createState(), createState()];
		const records = Array.from({length: upstreamCount}, (_, offset) => record(offset));
		follower.adopt({epoch: unknownEpoch, registry: {endOffset: 0, records: []}});
		let handedOverBytes = 0;
		const batchSize = upstreamCount / batches;
		for (let fromOffset = 0; fromOffset < upstreamCount; fromOffset += batchSize) {
			const endOffset = fromOffset + batchSize;
			follower.receiveChanges({epoch: unknownEpoch, changes: {fromOffset, endOffset, records: records.slice(fromOffset, endOffset)}, confidence: {type: 'sound'}});
			const query = other.compare({...follower.describe(), incarnation: 'f', host: 'f'} as FleetMember, true);
			assert.ok(query !== undefined);
			const state = follower.answerQuery(query);
			const body = await encodeState(state);
			handedOverBytes += body.length;
			other.adopt(state);
		}

		const whole = await encodeState(follower.answerQuery({configurationVersion: 0, wantsRegistry: true, epoch: unknownEpoch}));
		assert.equal(other.describe().registryDigest, follower.describe().registryDigest);
		assert.ok(handedOverBytes < whole.length * 2, `${handedOverBytes} bytes were handed over, while the whole state takes ${whole.length}`);
	});
});
