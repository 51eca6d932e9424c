/** Prints how many attempts reach the lowest service when it fails, at several depths. */
import {attemptsAtDepth} from './attempts-at-depth.js';

const depths = [1, 3, 9];
const calls = 200;
const budgetRatio = 0.1;

for (const depth of depths) {
	for (const passesMark of [true, false]) {
		const attempts = await attemptsAtDepth({
			depth, calls, budgetRatio, passesMark,
		});
		console.log(JSON.stringify({
			depth, calls, budgetRatio, passesMark, attempts,
		}));
	}
}
