import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AnswerBody} from './answer-body.js';

const mebibyte = 1_048_576;

describe('AnswerBody', () => {
	it('should return its parts in order, whatever length was announced', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 9000}), {maxLength: 30}), fc.option(fc.nat(20_000), {nil: undefined}), (parts, announcedBytes) => {
			const body = new AnswerBody(announcedBytes);
			for (const part of parts) {
				body.add(part);
			}

			const expected = Buffer.concat(parts);
			assert.equal(body.bytes, expected.length);
			assert.deepEqual(Buffer.from(body.toBytes()), expected);
		}), {seed: 79});
	});

	it('should return a long body', () => {
		const body = new AnswerBody(5 * mebibyte);
		const part = Buffer.alloc(mebibyte - 1, 'p');
		for (let index = 0; index < 5; index++) {
			body.add(part);
		}

		assert.deepEqual(Buffer.from(body.toBytes()), Buffer.alloc(5 * part.length, 'p'));
	});
});
