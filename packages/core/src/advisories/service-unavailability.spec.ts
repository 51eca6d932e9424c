import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {summarizeUnavailability} from './service-unavailability.js';

describe('summarizeUnavailability', () => {
	it('should report the soonest end of all back-offs', () => {
		assert.deepEqual(summarizeUnavailability([
			{type: 'backing-off', remainingMs: 900},
			{type: 'leaving'},
			{type: 'backing-off', remainingMs: 300},
		]), {reason: 'upstreams-backing-off', availableInMs: 300});
	});

	it('should report no time if all upstreams are leaving', () => {
		assert.deepEqual(summarizeUnavailability([{type: 'leaving'}]), {reason: 'upstreams-leaving'});
	});

	it('should not wait for a back-off if another upstream may accept a request sooner', () => {
		assert.deepEqual(summarizeUnavailability([{type: 'backing-off', remainingMs: 900}, {type: 'rate-limited'}]), {reason: 'rate-limited'});
		assert.deepEqual(summarizeUnavailability([{type: 'warming-up'}, {type: 'leaving'}]), {reason: 'warming-up'});
	});
});
