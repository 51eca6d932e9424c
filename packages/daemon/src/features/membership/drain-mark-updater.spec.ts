import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	defaultRules, inventorySchema, ManualClock, recordIdSchema, upstreamIdSchema,
} from '@cairnbank/core';
import {drainKey, initialConfiguration, type ConfigurationState} from '@cairnbank/core/configuration';
import {DrainMarkSet, drainMarkDefaults} from '@cairnbank/core/membership';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {DrainMarkUpdater} from './drain-mark-updater.js';
import type {MembershipState} from './membership-state.js';

const upstream = upstreamIdSchema.parse('ledger-01');
const undrainOffset = 7;

function undrainedConfiguration(): ConfigurationState {
	const accepted = {offset: undrainOffset, id: recordIdSchema.parse('undrain'), author: 'clerk'} as const;
	return {
		...initialConfiguration,
		throughOffset: undrainOffset,
		acceptedOffset: undrainOffset,
		rules: defaultRules,
		inventory: inventorySchema.parse({
			kind: 'inventory',
			services: [{
				id: 'ledger',
				upstreams: [{
					id: upstream, address: '127.0.0.1:9', availabilityZone: 'nasr', slots: 3, connections: 250,
				}],
			}],
		}),
		lastAcceptedByKey: new Map([[drainKey(upstream), accepted]]) as unknown as ConfigurationState['lastAcceptedByKey'],
	};
}

describe('drain mark updater', () => {
	it('should record the undrain of an upstream without a mark, so that an older mark of a peer is cleared', () => {
		const drainMarks = new DrainMarkSet({clock: new ManualClock(), ...drainMarkDefaults});
		const state = {drainMarks, gossip: {announceDrainMarks: () => undefined}} as unknown as MembershipState;
		const updater = new DrainMarkUpdater(createContextFixture({incarnation: 'a', settings: {}}), state, () => undefined);
		updater.applyConfiguration(undrainedConfiguration());
		drainMarks.merge([{
			upstream, version: 1, draining: true, source: 'answer', configurationOffset: undrainOffset - 1,
		}]);
		assert.equal(drainMarks.isDraining(upstream), false);
	});
});
