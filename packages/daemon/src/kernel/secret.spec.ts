import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isAuthorized, toAuthorization} from './secret.js';

const accepted = ['the-newer-secret', 'the-older-secret'];

describe('secrets', () => {
	it('should accept each of the two secrets during a rotation', () => {
		assert.deepEqual(accepted.map(secret => isAuthorized(toAuthorization(secret), accepted)), [true, true]);
	});

	it('should reject anything else', () => {
		const refused = [undefined, '', 'Bearer ', 'the-newer-secret', toAuthorization('the-newer-secre'), toAuthorization('another')];
		assert.ok(refused.every(header => !isAuthorized(header, accepted)));
	});
});
