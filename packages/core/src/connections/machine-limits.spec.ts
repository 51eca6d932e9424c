import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {limitsOf} from './machine-limits.js';

const mebibyte = 1_048_576;

describe('limitsOf', () => {
	it('should leave room for the longest body on the smallest machines in use', () => {
		const {bodyBytes} = limitsOf({memoryBytes: 250_000_000, descriptors: 4100});
		assert.ok(bodyBytes > 64 * mebibyte, String(bodyBytes));
	});

	it('should stay within the descriptors and the memory of the machine', () => {
		fc.assert(fc.property(fc.integer({min: 160_000_000, max: 4_000_000_000}), fc.integer({min: 300, max: 100_000}), (memoryBytes, descriptors) => {
			const limits = limitsOf({memoryBytes, descriptors});
			const connections = limits.callerConnections + limits.runningRequests + limits.directoryConnections + limits.peerConnections + (3 * limits.operatorConnections);
			assert.ok(connections < descriptors, `${connections} of ${descriptors}`);
			assert.ok(limits.callerBytes < memoryBytes);
			assert.ok(limits.bodyBytes < limits.callerBytes);
		}), {seed: 89});
	});
});
