import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maximumStarted, maximumWaiting, RequestSequence} from './request-sequence.js';

function sequenceOf(count: number): RequestSequence<number> {
	const sequence = new RequestSequence<number>();
	for (let request = 0; request < count; request++) {
		sequence.arrived(request, false);
	}

	return sequence;
}

describe('RequestSequence', () => {
	describe('with more requests than may run at once', () => {
		it('should let them wait', () => {
			assert.equal(sequenceOf(maximumStarted).arrived(99, false), 'waiting');
		});

		it('should start the first that waits as one ends', () => {
			assert.equal(sequenceOf(maximumStarted + 2).ended(3), maximumStarted);
		});

		it('should start nothing as one ends twice', () => {
			const sequence = sequenceOf(maximumStarted + 2);
			sequence.ended(3);
			assert.equal(sequence.ended(3), undefined);
		});

		it('should ignore those beyond what it keeps', () => {
			assert.equal(sequenceOf(maximumStarted + maximumWaiting).arrived(99, false), 'ignored');
		});

		it('should not start one that is withdrawn', () => {
			const sequence = sequenceOf(maximumStarted + 1);
			assert.ok(sequence.withdraw(maximumStarted));
			assert.equal(sequence.ended(0), undefined);
		});
	});

	describe('closesWith', () => {
		it('should close with no answer while the connection is kept', () => {
			assert.equal(sequenceOf(1).closesWith(0, false), false);
		});

		it('should not close with an answer before that of a started request', () => {
			assert.equal(sequenceOf(2).closesWith(0, true), false);
		});

		it('should not close with an answer before that of a waiting request', () => {
			const sequence = sequenceOf(maximumStarted + 1);
			for (let request = 0; request < maximumStarted - 1; request++) {
				sequence.closeBehind();
				assert.equal(sequence.closesWith(request, true), false);
			}
		});

		it('should close with the last answer', () => {
			const sequence = sequenceOf(2);
			sequence.ended(0);
			assert.equal(sequence.closesWith(1, true), true);
		});

		it('should ignore requests once an answer closes the connection', () => {
			const sequence = sequenceOf(1);
			sequence.closesWith(0, true);
			assert.equal(sequence.arrived(1, false), 'ignored');
		});

		it('should accept requests while an earlier answer than the last is written', () => {
			const sequence = sequenceOf(2);
			sequence.closesWith(0, true);
			assert.equal(sequence.arrived(2, false), 'started');
		});
	});

	describe('startAtOnce', () => {
		it('should return those that wait, and start none of them a second time', () => {
			const sequence = sequenceOf(maximumStarted + 2);
			assert.deepEqual(sequence.startAtOnce(), [maximumStarted, maximumStarted + 1]);
			assert.equal(sequence.ended(0), undefined);
		});

		it('should close with the last answer of those that waited, and with no earlier one', () => {
			const sequence = sequenceOf(maximumStarted + 2);
			sequence.startAtOnce();
			for (let request = 0; request < maximumStarted + 1; request++) {
				assert.equal(sequence.closesWith(request, true), false);
				sequence.ended(request);
			}

			assert.equal(sequence.closesWith(maximumStarted + 1, true), true);
		});

		it('should start those that arrive later at once, up to the number that is kept', () => {
			const sequence = sequenceOf(maximumStarted);
			sequence.startAtOnce();
			for (let request = maximumStarted; request < maximumStarted + maximumWaiting; request++) {
				assert.equal(sequence.arrived(request, false), 'started');
			}

			assert.equal(sequence.arrived(99, false), 'ignored');
		});
	});

	describe('with a request that closes the connection', () => {
		it('should ignore those behind it', () => {
			const sequence = new RequestSequence<number>();
			sequence.arrived(0, true);
			assert.equal(sequence.arrived(1, false), 'ignored');
		});

		it('should close with its answer', () => {
			const sequence = new RequestSequence<number>();
			sequence.arrived(0, true);
			assert.equal(sequence.closesWith(0, false), true);
		});

		it('should be over once it has ended', () => {
			const sequence = new RequestSequence<number>();
			sequence.arrived(0, true);
			assert.equal(sequence.isOver, false);
			sequence.ended(0);
			assert.equal(sequence.isOver, true);
		});
	});
});
