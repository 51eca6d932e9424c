import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	ManualClock, type AvailabilityZoneId, type ClientAccountId, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import {digestKey, type ClientAccount} from '@cairnbank/core/accounts';
import type {FleetMember} from '@cairnbank/core/fleet';
import {unknownEpoch, type KeyedChange, type RegisteredUpstream} from '@cairnbank/core/registry';
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import {createMetrics} from '../../metrics/metrics.js';
import {decodeState, encodeState} from '../fleet/state-body.js';
import {StateTask, type StateTaskOptions} from './state-task.js';

/** Ten upstreams for each of 300 instances; all of them register within some seconds when a site starts. */
const upstreamCount = 3000;
/** The follower reads a batch of new records every 150 ms. */
const batches = 20;

function createState(): StateTask {
	return new StateTask({
		context: {
			clock: new ManualClock(), random: {next: () => 0}, logger: {info: () => undefined, error: () => undefined}, metrics: createMetrics(), settings: {isFirstStart: true},
		},
		store: {},
		readerRole: () => ({isFollower: false}),
		onConfiguration: () => undefined,
		onUpstream: () => undefined,
		onUpdate: () => undefined,
	} as unknown as StateTaskOptions);
}

function configuration(version: number, accounts?: readonly ClientAccount[]): GatewayConfiguration {
	return {
		version,
		services: [],
		hosts: [],
		limits: {
			maximumHeaderBytes: 8192, maximumBodyBytes: 65_536, headerTimeoutMs: 5000, idleTimeoutMs: 4000,
		},
		...(accounts === undefined ? {} : {accounts}),
	};
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

	describe('client accounts', () => {
		const school = {id: 'school' as ClientAccountId, keys: [digestKey('k1')]};
		const query = {configurationVersion: 0, wantsRegistry: false, epoch: unknownEpoch};

		for (const [name, accounts] of [['with accounts', [school]], ['without accounts', undefined], ['with an empty list of accounts', []]] as const) {
			it(`should be handed over as they are by a configuration ${name}`, async () => {
				const [first, second] = [createState(), createState()];
				first.adopt({epoch: unknownEpoch, configuration: configuration(1, accounts), hasNoAccounts: true});
				const handedOver = await decodeState(await encodeState(first.answerQuery(query)));
				second.adopt(handedOver._unsafeUnwrap());
				assert.deepEqual(second.routes?.configuration, configuration(1, accounts));
			});
		}

		it('should not be taken as absent where an older instance leaves them out', () => {
			const state = createState();
			state.adopt({epoch: unknownEpoch, configuration: configuration(1)});
			assert.equal(state.routes, undefined);
			assert.equal(state.canServe, false);
		});

		it('should stay in force where an older instance leaves them out of a newer configuration', () => {
			const state = createState();
			state.adopt({epoch: unknownEpoch, configuration: configuration(1, [school])});
			state.adopt({epoch: unknownEpoch, configuration: configuration(2)});
			assert.equal(state.routes?.configuration.version, 1);
			assert.equal(state.configurationAgeMs, Number.POSITIVE_INFINITY);
		});

		it('should stay in force where a newer configuration has the same key at two accounts', () => {
			const state = createState();
			state.adopt({epoch: unknownEpoch, configuration: configuration(1, [school])});
			state.adopt({epoch: unknownEpoch, configuration: configuration(2, [school, {...school, id: 'other' as ClientAccountId}])});
			assert.equal(state.routes?.configuration.version, 1);
		});

		it('should not go back to those of an older configuration', () => {
			const state = createState();
			state.adopt({epoch: unknownEpoch, configuration: configuration(2, [])});
			state.adopt({epoch: unknownEpoch, configuration: configuration(1, [school])});
			assert.deepEqual(state.routes?.configuration.accounts, []);
		});
	});
});
