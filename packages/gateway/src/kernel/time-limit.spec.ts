import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TimeLimit} from './time-limit.js';

const limitMs = 20;
/** Time that one turn of the event loop takes on an instance that is short of processor time. */
const turnMs = 20;
const answerBytes = 1000;
/** A request that exceeds its time has its outcome half a second later at the latest. */
const maximumLateMs = 500;

function block(durationMs: number): void {
	for (const startMs = performance.now(); performance.now() - startMs < durationMs;) {
		// Other work of the instance.
	}
}

describe('TimeLimit', () => {
	// Guards against time-outs that wait for as long as the answers to other requests are read.
	it('should end soon after its time although answers are read in each turn of the event loop', async () => {
		const answers = {readBytes: 0};
		let isOver = false;
		const readOn = () => {
			if (!isOver) {
				block(turnMs);
				answers.readBytes += answerBytes;
				setImmediate(readOn);
			}
		};

		const startMs = performance.now();
		const over = new Promise<number>(resolve => {
			const limit = new TimeLimit(limitMs, answers, () => {
				limit.clear();
				isOver = true;
				resolve(performance.now() - startMs - limitMs);
			});
		});
		setImmediate(readOn);
		const lateMs = await over;
		assert.ok(lateMs < maximumLateMs, `${Math.round(lateMs)} ms late`);
	});
});
