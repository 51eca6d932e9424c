import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {CrashDetector, defaultCrashDetectorSettings} from './crash-detector.js';

describe('crash detector', () => {
	let detector: CrashDetector<string>;

	beforeEach(() => {
		detector = new CrashDetector();
		detector.lost('poison', 10);
		detector.lost('neighbour', 10);
	});

	it('should blame all requests in flight where every connection broke and a connect is refused', () => {
		assert.deepEqual(detector.refused(0, 11), {type: 'crashed', inFlight: ['poison', 'neighbour']});
		assert.equal(detector.isUndecided, false);
	});

	it('should blame nobody while another connection stays open', () => {
		assert.deepEqual(detector.refused(1, 11), {type: 'undecided'});
		assert.equal(detector.isUndecided, true);
	});

	it('should take a loss for an ordinary reset where a connect succeeds', () => {
		assert.deepEqual(detector.connected(), {type: 'alive', inFlight: ['poison', 'neighbour']});
		assert.deepEqual(detector.refused(0, 12), {type: 'crashed', inFlight: []});
	});

	it('should not blame losses older than its window', () => {
		assert.deepEqual(detector.refused(0, 11 + defaultCrashDetectorSettings.windowMs), {type: 'crashed', inFlight: []});
	});
});
