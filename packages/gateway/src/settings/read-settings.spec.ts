import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseSettings, readSettings} from './read-settings.js';
import type {SettingsInput} from './settings.js';

const validSettings: SettingsInput = {
	instanceId: 'entry-1',
	availabilityZone: 'nasr',
	host: '127.0.0.1',
	listen: {callers: '127.0.0.1:0', readiness: '127.0.0.1:0', directory: '127.0.0.1:0'},
	peers: {datagramPort: 0, statePort: 0, metricsPort: 0},
	store: {address: '127.0.0.1:9'},
	bounds: {
		graceSeconds: 6, maximumAddressTtlSeconds: 5, retryRatio: 0.2, retrySlack: 56, retryWindowSeconds: 10, probesPerSecond: 60,
	},
};

describe('settings', () => {
	it('should be completed with defaults', () => {
		const settings = parseSettings(JSON.stringify(validSettings))._unsafeUnwrap();
		assert.deepEqual(settings.seeds, []);
		assert.equal(settings.logging.level, 'info');
	});

	it('should report every fault with its path', () => {
		const faulty = {
			...validSettings, host: 'name', bounds: {...validSettings.bounds, retryRatio: -1}, unknown: 1,
		};
		const {faults} = parseSettings(JSON.stringify(faulty))._unsafeUnwrapErr();
		assert.deepEqual(new Set(faults.map(fault => fault.split(':')[0])), new Set(['bounds.retryRatio', 'host', 'unknown']));
	});

	it('should report a file that is not JSON or does not exist', async () => {
		assert.match(parseSettings('{')._unsafeUnwrapErr().faults[0]!, /not JSON/);
		const missing = await readSettings('/nowhere/settings.json');
		assert.match(missing._unsafeUnwrapErr().faults[0]!, /cannot read/);
	});
});
