import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BudgetedFleet, windowMs} from './budgeted-fleet.js';

const sizes = [8, 19, 132] as const;
const secondMs = 1000;

describe('the slack of the retry budget, when every instance uses its whole share', () => {
	for (const size of sizes) {
		describe(`in a fleet of ${size}`, () => {
			it('should not be exceeded while instances start one after the other', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: false});
				for (let index = 0; index < size; index++) {
					fleet.start(index);
					fleet.advance(8 * secondMs / size);
				}

				fleet.advance(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded while the fleet grows to many times its size within a window', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: false, isUp: false});
				for (let index = 0; index < 3; index++) {
					fleet.start(index);
				}

				fleet.advance(2 * windowMs);
				for (let index = 3; index < size; index++) {
					fleet.start(index);
					fleet.advance(3 * secondMs / size);
				}

				fleet.advance(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded by instances that restart while they are isolated', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.advance(2 * windowMs);
				for (let index = 3; index < Math.min(size, 16); index++) {
					fleet.start(index);
					fleet.isolate(index);
				}

				fleet.advance(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded when an availability zone restarts while it is partitioned from the others', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.advance(2 * windowMs);
				fleet.partitionZone(1);
				fleet.restartZone(1);
				fleet.advance(2 * windowMs);
				fleet.assertWithinSlack();
			});

			it('should not be exceeded while half of the instances are killed and restart at once, twice', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: true, isUp: true});
				fleet.advance(2 * windowMs);
				for (let round = 0; round < 2; round++) {
					for (let index = 0; index < size; index += 2) {
						fleet.start(index);
					}

					fleet.advance(0.7 * windowMs);
				}

				fleet.advance(windowMs);
				fleet.assertWithinSlack();
			});

			it('should be used to at least nine tenths once the fleet has been known for two windows', () => {
				const fleet = new BudgetedFleet(size, {isFirstStart: false, isUp: true});
				fleet.advance(2.5 * windowMs);
				assert.ok(fleet.usedWithinLastWindow >= 0.9 * fleet.slack, `${fleet.usedWithinLastWindow} of ${fleet.slack}`);
			});
		});
	}
});
