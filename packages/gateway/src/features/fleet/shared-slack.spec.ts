import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BudgetedFleet, windowMs} from './budgeted-fleet.js';

const sizes = [8, 19, 132] as const;
const secondMs = 1000;

describe('the slack of the retry budget, used by every instance as far as it may', () => {
	for (const size of sizes) {
		describe(`in a fleet of ${size}`, () => {
			it('should not be exceeded while instances start one after the other', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: false});
				for (let index = 0; index < size; index++) {
					fleet.start(index);
					fleet.pass(8 * secondMs / size);
				}

				fleet.pass(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded while the fleet grows many times larger within a window', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: false, isUp: false});
				for (let index = 0; index < 3; index++) {
					fleet.start(index);
				}

				fleet.pass(2 * windowMs);
				for (let index = 3; index < size; index++) {
					fleet.start(index);
					fleet.pass(3 * secondMs / size);
				}

				fleet.pass(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded by instances that start again while they are cut off', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.pass(2 * windowMs);
				for (let index = 3; index < Math.min(size, 16); index++) {
					fleet.start(index);
					fleet.cutOff(index);
				}

				fleet.pass(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded where an availability zone starts again while it is cut off from the others', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.pass(2 * windowMs);
				fleet.cutZone(1);
				fleet.startZone(1);
				fleet.pass(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded while half of the instances are killed and start again at once, twice', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.pass(2 * windowMs);
				for (let round = 0; round < 2; round++) {
					for (let index = 0; index < size; index += 2) {
						fleet.start(index);
					}

					fleet.pass(0.7 * windowMs);
				}

				fleet.pass(windowMs);
				fleet.assertWithinSlack();
			});

			it('should be used to nine tenths or more once the fleet has been known for two windows', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: false, isUp: true});
				fleet.pass(2.5 * windowMs);
				assert.ok(fleet.usedWithinLastWindow >= 0.9 * fleet.slack, `${fleet.usedWithinLastWindow} of ${fleet.slack}`);
			});
		});
	}
});
