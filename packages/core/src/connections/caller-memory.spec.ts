import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {CallerMemory, unfinishedBodyGraceMs, type UnfinishedBody} from './caller-memory.js';

const maximumBytes = 1000;
const maximumBodyBytes = 600;

function createMemory(): {readonly memory: CallerMemory; readonly clock: ManualClock; readonly answers: {bytes: number}; readonly givenUp: string[]; readonly body: (name: string) => UnfinishedBody} {
	const clock = new ManualClock();
	const answers = {bytes: 0};
	const givenUp: string[] = [];
	const memory = new CallerMemory({
		clock, maximumBytes, maximumBodyBytes, answerBytes: () => answers.bytes,
	});
	const body = (name: string): UnfinishedBody => ({
		giveUp() {
			givenUp.push(name);
		},
	});
	return {
		memory, clock, answers, givenUp, body,
	};
}

describe('CallerMemory', () => {
	describe('with bodies', () => {
		it('should reserve memory up to its bound', () => {
			const {memory, body} = createMemory();
			assert.equal(memory.reserveBody(body('a'), maximumBodyBytes), true);
			assert.equal(memory.reserveBody(body('b'), 1), false);
		});

		it('should reserve nothing for a body that doesn\'t fit', () => {
			const {memory, body} = createMemory();
			memory.reserveBody(body('a'), 1);
			assert.equal(memory.reserveBody(body('b'), maximumBodyBytes), false);
			assert.equal(memory.bodyBytes, 1);
		});

		it('should have room again once a body is released', () => {
			const {memory, body} = createMemory();
			const first = body('a');
			memory.reserveBody(first, maximumBodyBytes);
			memory.releaseBody(first, maximumBodyBytes);
			assert.equal(memory.reserveBody(body('b'), maximumBodyBytes), true);
		});

		// Guards against callers that leave long bodies unfinished, so that no other body fits.
		it('should give up the longest one that has been arriving for some time to make room for a shorter one', () => {
			const {memory, clock, givenUp, body} = createMemory();
			memory.reserveBody(body('short'), 200);
			memory.reserveBody(body('long'), 400);
			clock.advance(unfinishedBodyGraceMs);
			assert.equal(memory.reserveBody(body('new'), 10), true);
			assert.deepEqual(givenUp, ['long']);
			assert.equal(memory.bodyBytes, 210);
		});

		it('should give up none for a body that is as long', () => {
			const {memory, clock, givenUp, body} = createMemory();
			memory.reserveBody(body('first'), 400);
			clock.advance(unfinishedBodyGraceMs);
			assert.equal(memory.reserveBody(body('second'), 400), false);
			assert.deepEqual(givenUp, []);
		});

		it('should not give up one that has arrived', () => {
			const {memory, clock, givenUp, body} = createMemory();
			const whole = body('whole');
			memory.reserveBody(whole, maximumBodyBytes);
			memory.completeBody(whole);
			clock.advance(unfinishedBodyGraceMs);
			assert.equal(memory.reserveBody(body('new'), 1), false);
			assert.deepEqual(givenUp, []);
		});
	});

	describe('with requests that wait', () => {
		it('should leave room for others', () => {
			const {memory} = createMemory();
			assert.equal(memory.reserveWaiting(250), true);
			assert.equal(memory.reserveWaiting(1), false);
			assert.equal(memory.reserveHead(750), true);
			memory.releaseWaiting(250);
			assert.equal(memory.headBytes, 750);
			assert.equal(memory.reserveWaiting(250), true);
		});
	});

	describe('with bodies, heads and answers', () => {
		it('should keep them together within its bound', () => {
			const {memory, answers, body} = createMemory();
			answers.bytes = 500;
			assert.equal(memory.reserveHead(300), true);
			assert.equal(memory.reserveBody(body('a'), 201), false);
			assert.equal(memory.reserveBody(body('a'), 200), true);
			assert.equal(memory.reserveHead(1), false);
			memory.releaseHead(300);
			assert.equal(memory.headBytes, 0);
			assert.equal(memory.reserveHead(300), true);
		});

		it('should give up unfinished bodies for heads and answers', () => {
			const {memory, clock, answers, givenUp, body} = createMemory();
			memory.reserveBody(body('a'), 300);
			memory.reserveBody(body('b'), 200);
			clock.advance(unfinishedBodyGraceMs);
			assert.equal(memory.reserveHead(600), true);
			answers.bytes = 300;
			assert.equal(memory.roomForAnswers(), 400);
			assert.deepEqual(givenUp, ['a', 'b']);
		});
	});
});
