import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {BlockBuffer} from './block-buffer.js';

const mebibyte = 1_048_576;

describe('BlockBuffer', () => {
	it('should return its parts in order, whatever length was announced', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 9000}), {maxLength: 30}), fc.option(fc.nat(20_000), {nil: undefined}), (parts, announcedBytes) => {
			const body = new BlockBuffer(announcedBytes);
			for (const part of parts) {
				body.add(part);
			}

			const expected = Buffer.concat(parts);
			assert.equal(body.bytes, expected.length);
			assert.deepEqual(Buffer.from(body.takeBytes()), expected);
		}), {seed: 79});
	});

	// Guards against a message whose bytes change as the memory of another one is used again.
	it('should not change what it has returned', () => {
		fc.assert(fc.property(fc.array(fc.record({
			announcedBytes: fc.constantFrom(undefined, 0, 1000, 65_536, 70_000), partBytes: fc.integer({min: 1, max: 70_000}), parts: fc.nat(4), isDiscarded: fc.boolean(),
		}), {maxLength: 12}), drawn => {
			const returned: Array<{readonly bytes: Uint8Array; readonly value: number; readonly length: number}> = [];
			for (const [index, {announcedBytes, partBytes, parts, isDiscarded}] of drawn.entries()) {
				const body = new BlockBuffer(announcedBytes);
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

	// Guards against the memory of each part, which is many times that of its bytes if they are few.
	it('should take little more memory than its bytes, however small its parts are', () => {
		const body = new BlockBuffer();
		const part = Buffer.alloc(1, 'p');
		for (let index = 0; index < mebibyte; index++) {
			body.add(part);
		}

		assert.ok(body.allocatedBytes < 1.1 * mebibyte, String(body.allocatedBytes));
		const parts = body.takeParts();
		assert.ok(parts.length < 30, String(parts.length));
		assert.deepEqual(Buffer.concat(parts), Buffer.alloc(mebibyte, 'p'));
		assert.equal(body.allocatedBytes, 0);
	});

	// Guards against a body that is still being sent as the memory of its blocks is used again.
	it('should not change the parts that it has returned', () => {
		const body = new BlockBuffer();
		body.add(Buffer.alloc(mebibyte, 'p'));
		const parts = body.takeParts();
		body.discard();
		const next = new BlockBuffer();
		next.add(Buffer.alloc(mebibyte, 'q'));
		assert.deepEqual(Buffer.concat(parts), Buffer.alloc(mebibyte, 'p'));
	});

	it('should return a long body', () => {
		const body = new BlockBuffer(5 * mebibyte);
		const part = Buffer.alloc(mebibyte - 1, 'p');
		for (let index = 0; index < 5; index++) {
			body.add(part);
		}

		assert.deepEqual(Buffer.from(body.takeBytes()), Buffer.alloc(5 * part.length, 'p'));
	});
});
