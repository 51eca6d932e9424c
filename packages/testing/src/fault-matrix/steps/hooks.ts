/** What happens around every scenario: a sound fleet before it, the promises checked after it. */
import {
	After as after, Before as before, setDefaultTimeout, setWorldConstructor, Status, type ITestCaseHookParameter,
} from '@cucumber/cucumber';
import {recordCell} from '../cells/recorded-cells.js';
import {checkGuarantees} from '../fixtures/guarantees.js';
import {formatOutcome} from '../fixtures/caller-outcome.js';
import {MatrixWorld} from './matrix-world.js';

/** Generous: a step that waits this long has failed. */
const stepLimitMs = 40_000;

setWorldConstructor(MatrixWorld);
setDefaultTimeout(stepLimitMs);

before(async function (this: MatrixWorld) {
	await this.attachFleet();
});

// Hooks after a scenario run last first: the promises are checked before all is taken down.
after(async function (this: MatrixWorld) {
	for (const cleanUp of this.cleanUps.toReversed()) {
		await cleanUp();
	}

	await Promise.all(this.upstreams.map(async upstream => upstream.stop()));
});

after(function (this: MatrixWorld, {result, pickle}: ITestCaseHookParameter) {
	const outcomes = [...new Set(this.requests.flatMap(request => request.outcomes.map(one => formatOutcome(one))))];
	const runs = Math.max(0, ...this.requests.map(request => this.runCountOf(request.id)));
	for (const cell of this.coveredCells) {
		recordCell({
			...cell, scenario: pickle.name, passed: result?.status === Status.PASSED, outcomes, runs,
		});
	}
});

after(async function (this: MatrixWorld) {
	// What is still under way ends first, for the promises are about the whole history.
	await this.fleet.clearFaults();
	await this.resumeAll();
	await Promise.all(this.openExchanges);
	this.fleet.assertNoneFailed();
	for (const request of this.requests) {
		checkGuarantees(request, this.runCountOf(request.id));
	}
});
