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
			assert.deepEqual(Buffer.from(body.takeBytes()), expected);
		}), {seed: 79});
	});

	// Guards against an answer whose bytes change as the memory of another one is used again.
	it('should not change what it has returned', () => {
		fc.assert(fc.property(fc.array(fc.record({
			announcedBytes: fc.constantFrom(undefined, 0, 1000, 65_536, 70_000), partBytes: fc.integer({min: 1, max: 70_000}), parts: fc.nat(4), isDiscarded: fc.boolean(),
		}), {maxLength: 12}), drawn => {
			const returned: Array<{readonly bytes: Uint8Array; readonly value: number; readonly length: number}> = [];
			for (const [index, {announcedBytes, partBytes, parts, isDiscarded}] of drawn.entries()) {
				const body = new AnswerBody(announcedBytes);
				for (let part = 0; part < parts; part++) {
					body.add(Buffer.alloc(partBytes, index));
				}

				if (isDiscarded) {
					body.discard();
				} else {
					returned.push({bytes: body.takeBytes(), value: index, length: parts * partBytes});
				}
			}

			for (const {bytes, value, length} of returned) {
				assert.equal(bytes.length, length);
				assert.ok(bytes.every(byte => byte === value));
			}
		}), {seed: 79});
	});

	it('should return a long body', () => {
		const body = new AnswerBody(5 * mebibyte);
		const part = Buffer.alloc(mebibyte - 1, 'p');
		for (let index = 0; index < 5; index++) {
			body.add(part);
		}

		assert.deepEqual(Buffer.from(body.takeBytes()), Buffer.alloc(5 * part.length, 'p'));
	});
});
