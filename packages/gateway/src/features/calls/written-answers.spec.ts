import assert from 'node:assert/strict';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {WrittenAnswers, type WrittenTotal} from './written-answers.js';

const maximumAnswers = 64;
const maximumTotal = 8192;

describe('WrittenAnswers', () => {
	const fill = (total: WrittenTotal, answers: number): WrittenAnswers => {
		const written = new WrittenAnswers(new Socket(), total);
		for (let number = 0; number < answers; number++) {
			written.add({fields: {number}, writtenAtMs: number});
		}

		return written;
	};

	it('should remember the newest answers of a connection', () => {
		const total = {count: 0};
		const written = fill(total, maximumAnswers + 1);
		assert.equal(total.count, maximumAnswers);
		const {answers} = written.take();
		assert.deepEqual([answers.length, answers[0]!.writtenAtMs], [maximumAnswers, 1]);
		assert.equal(total.count, 0);
	});

	// Guards against answers that are remembered for each of many connections whose callers read nothing.
	it('should remember one of each connection where there are too many in all', () => {
		const total = {count: 0};
		const connections = Array.from({length: 1000}, () => fill(total, maximumAnswers));
		assert.ok(total.count <= maximumTotal + connections.length, String(total.count));
		assert.deepEqual(connections.at(-1)!.take().answers.map(({writtenAtMs}) => writtenAtMs), [maximumAnswers - 1]);
		for (const written of connections) {
			written.callerHasAll();
		}

		assert.equal(total.count, 0);
	});
});
