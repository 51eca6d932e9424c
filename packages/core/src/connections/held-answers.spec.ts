import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {AnswerMemory, maximumHeldBytes} from './answer-memory.js';
import {HeldAnswers, stallMs} from './held-answers.js';

function fullAnswers(): {clock: ManualClock; answers: HeldAnswers<string>} {
	const clock = new ManualClock();
	const answers = new HeldAnswers<string>(clock, new AnswerMemory());
	answers.hold('slow', maximumHeldBytes);
	answers.progressed('slow');
	return {clock, answers};
}

describe('HeldAnswers', () => {
	it('should be full at its bound', () => {
		assert.equal(fullAnswers().answers.isFull, true);
	});

	it('should have room again once an answer is released', () => {
		const {answers} = fullAnswers();
		answers.release('slow', maximumHeldBytes);
		assert.equal(answers.isFull, false);
		assert.equal(answers.bytes, 0);
	});

	it('should release no more than it holds', () => {
		const {answers} = fullAnswers();
		answers.release('another', 10);
		assert.equal(answers.bytes, maximumHeldBytes);
	});

	describe('stalled', () => {
		it('should name a holder that has taken nothing for long', () => {
			const {clock, answers} = fullAnswers();
			clock.advance(stallMs);
			assert.deepEqual(answers.stalled(), ['slow']);
		});

		it('should not name a holder that takes its answer slowly', () => {
			const {clock, answers} = fullAnswers();
			clock.advance(stallMs - 1);
			answers.progressed('slow');
			clock.advance(stallMs - 1);
			assert.deepEqual(answers.stalled(), []);
		});

		it('should not name a holder whose answer waits for its turn', () => {
			const {clock, answers} = fullAnswers();
			answers.hold('waiting', 10);
			clock.advance(stallMs - 1);
			answers.progressed('slow');
			clock.advance(stallMs - 1);
			assert.deepEqual(answers.stalled(), []);
		});

		it('should name nobody while memory is left', () => {
			const {clock, answers} = fullAnswers();
			answers.release('slow', 1);
			answers.progressed('slow');
			clock.advance(stallMs);
			assert.deepEqual(answers.stalled(), []);
		});
	});
});
