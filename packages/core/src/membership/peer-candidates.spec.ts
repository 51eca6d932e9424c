import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addressSchema} from '../model/address.js';
import {instanceListSchema} from './listed-instance.js';
import {peerCandidates} from './peer-candidates.js';

const own = addressSchema.parse('10.0.0.1:81');
const seed = addressSchema.parse('10.0.0.9:91');

describe('peer candidates', () => {
	it('should use the listed peer address, or else the listed host with this instance\'s peer port', () => {
		const {instances} = instanceListSchema.parse({
			instances: [
				{
					id: 'a', role: 'entry', address: '10.0.0.1:80', availabilityZone: 'nasr', state: 'live',
				},
				{
					id: 'b', role: 'entry', address: '10.0.0.2:80', availabilityZone: 'nasr', state: 'live',
				},
				{
					id: 'c', role: 'entry', address: '10.0.0.3:80', peerAddress: '10.0.0.3:99', availabilityZone: 'nasr', state: 'live',
				},
				{
					id: 'd', role: 'upstream', address: '10.0.0.4:80', availabilityZone: 'nasr', state: 'live',
				},
			],
		});
		assert.deepEqual(peerCandidates(instances, [seed], own), [seed, '10.0.0.2:81', '10.0.0.3:99']);
	});
});
