import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {CrashDetector, defaultCrashDetectorSettings} from './crash-detector.js';

describe('crash detector', () => {
	let detector: CrashDetector<string>;

	beforeEach(() => {
		detector = new CrashDetector();
		detector.connected(0);
		detector.connected(0);
	});

	it('should blame all requests in flight where every connection broke and a connect is refused', () => {
		detector.disconnected('lost', 'poison', 10);
		detector.disconnected('lost', 'neighbour', 10);
		assert.deepEqual(detector.refused(11), {type: 'crashed', inFlight: ['poison', 'neighbour']});
		assert.equal(detector.isUndecided, false);
	});

	it('should blame nobody while another connection stays open', () => {
		detector.disconnected('lost', 'poison', 10);
		assert.deepEqual(detector.refused(11), {type: 'undecided'});
		assert.equal(detector.isUndecided, true);
	});

	it('should take a loss for an ordinary reset where a connect succeeds', () => {
		detector.disconnected('lost', 'poison', 10);
		detector.disconnected('graceful', undefined, 10);
		assert.deepEqual(detector.connected(11), {type: 'alive', inFlight: ['poison']});
		assert.deepEqual(detector.refused(12), {type: 'undecided'});
	});

	it('should blame nobody for a planned stop with idle connections', () => {
		detector.disconnected('graceful', undefined, 10);
		detector.disconnected('graceful', undefined, 10);
		assert.deepEqual(detector.refused(11), {type: 'undecided'});
	});

	it('should not blame losses older than its window', () => {
		detector.disconnected('lost', 'poison', 10);
		detector.disconnected('graceful', undefined, 10);
		assert.deepEqual(detector.refused(11 + defaultCrashDetectorSettings.windowMs), {type: 'undecided'});
	});
});
