/** Hooks of each scenario: attach the fleet before it; afterwards clear faults, check guarantees and record the result. */
import {
	After as after, Before as before, setDefaultTimeout, setWorldConstructor, Status, type ITestCaseHookParameter,
} from '@cucumber/cucumber';
import {recordCell} from '../cells/recorded-cells.js';
import {checkGuarantees} from '../fixtures/guarantees.js';
import {formatOutcome} from '../fixtures/caller-outcome.js';
import {MatrixWorld} from './matrix-world.js';

/** Well above the duration of a working step, so that only a step that hangs runs into it. */
const stepTimeoutMs = 40_000;

setWorldConstructor(MatrixWorld);
setDefaultTimeout(stepTimeoutMs);

before(async function (this: MatrixWorld) {
	await this.attachFleet();
});

// Cucumber runs `After` hooks in reverse order of definition: the guarantees are checked before the upstreams stop.
after(async function (this: MatrixWorld) {
	for (const cleanUp of this.cleanUps.toReversed()) {
		await cleanUp();
	}

	await Promise.all(this.upstreams.map(async upstream => upstream.stop()));
});

after(function (this: MatrixWorld, {result, pickle}: ITestCaseHookParameter) {
	const outcomes = [...new Set(this.requests.flatMap(request => request.outcomes.map(outcome => formatOutcome(outcome))))];
	const runs = Math.max(0, ...this.requests.map(request => this.runCountOf(request.id)));
	for (const cell of this.coveredCells) {
		recordCell({
			...cell, scenario: pickle.name, passed: result?.status === Status.PASSED, outcomes, runs,
		});
	}
});

after(async function (this: MatrixWorld) {
	// Open exchanges end first, because the guarantees cover all attempts of a request.
	await this.fleet.clearFaults();
	await this.resumeAll();
	await Promise.all(this.openExchanges);
	this.fleet.assertNoneFailed();
	for (const request of this.requests) {
		checkGuarantees(request, this.runCountOf(request.id));
	}
});
