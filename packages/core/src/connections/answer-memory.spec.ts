import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	AnswerMemory, maximumAnswerMemoryBytes, maximumHeldBytes, usualAnswerBytes,
} from './answer-memory.js';

const mebibyte = 1_048_576;
/** The longest answers in use. */
const longBytes = 540_000;
/** The longest answer that an instance reads. */
const longestBytes = 32 * mebibyte;

describe('AnswerMemory', () => {
	it('should let one answer grow to its greatest length', () => {
		const memory = new AnswerMemory<string>();
		assert.deepEqual(memory.read('long', longestBytes), []);
		assert.equal(memory.bytesOf('long'), longestBytes);
	});

	it('should give up the longest answer once all outgrow the memory', () => {
		const memory = new AnswerMemory<string>();
		memory.read('sound', longBytes);
		memory.read('endless', maximumAnswerMemoryBytes - longBytes);
		assert.deepEqual(memory.read('sound', 1), ['endless']);
		assert.equal(memory.bytes, longBytes + 1);
	});

	it('should give up the answer that is read if it is the longest', () => {
		const memory = new AnswerMemory<string>();
		memory.read('sound', longBytes);
		assert.deepEqual(memory.read('endless', maximumAnswerMemoryBytes), ['endless']);
		assert.equal(memory.bytes, longBytes);
	});

	it('should keep within the memory that requests leave, and take no less than a few long answers', () => {
		let roomBytes = 40 * mebibyte;
		const memory = new AnswerMemory<string>({roomBytes: () => roomBytes});
		memory.read('sound', longBytes);
		assert.deepEqual(memory.read('long', longestBytes), []);
		memory.hold(8 * mebibyte);
		assert.deepEqual(memory.read('sound', 1), ['long']);
		roomBytes = 0;
		assert.deepEqual(memory.read('sound', longBytes), []);
		assert.equal(memory.isFull, true);
	});

	it('should leave less to unfinished answers while callers hold whole ones', () => {
		const memory = new AnswerMemory<string>();
		memory.hold(maximumHeldBytes);
		memory.read('first', longBytes);
		assert.deepEqual(memory.read('second', longestBytes), ['second']);
		assert.equal(memory.bytes, maximumHeldBytes + longBytes);
	});

	it('should count nothing of an answer that has ended', () => {
		const memory = new AnswerMemory<string>();
		memory.read('answer', longBytes);
		memory.end('answer');
		memory.end('answer');
		assert.deepEqual([memory.bytes, memory.unfinishedBytes, memory.bytesOf('answer')], [0, 0, 0]);
	});

	describe('isFull', () => {
		it('should be set at the bound of whole answers', () => {
			const memory = new AnswerMemory<string>();
			memory.hold(maximumHeldBytes);
			assert.equal(memory.isFull, true);
			memory.release(1);
			assert.equal(memory.isFull, false);
		});

		// Guards against refusals of all requests while some upstreams send answers without end.
		it('should not be set by long answers, which can be ended', () => {
			const memory = new AnswerMemory<number>();
			for (let reader = 0; reader < 200; reader++) {
				memory.read(reader, mebibyte);
			}

			assert.equal(memory.isFull, false);
		});

		it('should be set by answers of usual length, as the next one would end others', () => {
			const memory = new AnswerMemory<number>();
			for (let reader = 0; reader < maximumHeldBytes / usualAnswerBytes; reader++) {
				memory.read(reader, usualAnswerBytes);
			}

			assert.equal(memory.isFull, true);
			memory.end(0);
			assert.equal(memory.isFull, false);
		});
	});

	const drawnStep = fc.record({
		reader: fc.nat(40),
		type: fc.constantFrom('read', 'read', 'read', 'complete', 'abandon', 'take'),
		bytes: fc.nat(4 * mebibyte),
	});

	it('should stay within its bound whatever is read, given up and taken, and end only the longest', () => {
		fc.assert(fc.property(fc.array(drawnStep, {maxLength: 300}), steps => {
			const memory = new AnswerMemory<number>();
			const unfinished = new Map<number, number>();
			const whole: number[] = [];
			for (const {reader, type, bytes} of steps) {
				const held = unfinished.get(reader) ?? 0;
				switch (type) {
					case 'read': {
						unfinished.set(reader, held + bytes);
						for (const outgrown of memory.read(reader, bytes)) {
							assert.equal(unfinished.get(outgrown), Math.max(...unfinished.values()));
							unfinished.delete(outgrown);
						}

						break;
					}

					case 'complete': {
						memory.end(reader);
						memory.hold(held);
						whole.push(held);
						unfinished.delete(reader);
						break;
					}

					case 'abandon': {
						memory.end(reader);
						unfinished.delete(reader);
						break;
					}

					case 'take': {
						memory.release(whole.shift() ?? 0);
					}
				}

				const unfinishedBytes = [...unfinished.values()].reduce((sum, other) => sum + other, 0);
				assert.equal(memory.unfinishedBytes, unfinishedBytes);
				assert.equal(memory.bytes, unfinishedBytes + whole.reduce((sum, other) => sum + other, 0));
				assert.ok(memory.bytes <= maximumAnswerMemoryBytes);
			}
		}), {seed: 79, numRuns: 200});
	});
});
