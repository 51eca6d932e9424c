/** Step definitions for the covered cell, the instances, and the service with its upstreams. */
import assert from 'node:assert/strict';
import {Given as given, When as when} from '@cucumber/cucumber';
import {isFault} from '../cells/faults.js';
import {isRequestStep} from '../cells/request-steps.js';
import {parseBehaviour, type Behaviour} from '../fixtures/behaviour.js';
import type {MatrixWorld} from './matrix-world.js';

const allButOne = ', all but one';

given('this scenario covers the fault {string} at the step {string}', function (this: MatrixWorld, fault: string, step: string) {
	assert.ok(isFault(fault), `unknown fault: ${fault}`);
	assert.ok(isRequestStep(step), `unknown step: ${step}`);
	this.coveredCells.push({fault, step});
});

given('this scenario covers the faults {string} and {string} at the step {string}', function (this: MatrixWorld, fault: string, secondFault: string, step: string) {
	assert.ok(isFault(fault), `unknown fault: ${fault}`);
	assert.ok(isFault(secondFault), `unknown fault: ${secondFault}`);
	assert.ok(isRequestStep(step), `unknown step: ${step}`);
	this.coveredCells.push({fault, secondFault, step});
});

given(/^instances (\w+(?:(?:, | and )\w+)*)$/u, async function (this: MatrixWorld, names: string) {
	await this.startInstances(names.split(/,\s*|\s+and\s+/u));
});

given(/^a service with (\d+) upstreams? that (.+)$/u, async function (this: MatrixWorld, count: string, text: string) {
	const faultyBehaviour = parseBehaviour(text.replace(allButOne, '').replace(/^answers$/u, 'answer'));
	const behaviours = Array.from({length: Number(count)}, (): Behaviour => faultyBehaviour);
	if (text.endsWith(allButOne)) {
		behaviours[0] = 'answer';
	}

	await this.startService(behaviours);
});

given('a service whose only upstream never accepts a connection', async function (this: MatrixWorld) {
	await this.startStalledService();
});

when(/^the upstreams now (.+)$/u, async function (this: MatrixWorld, text: string) {
	const behaviour = parseBehaviour(text);
	await Promise.all(this.upstreams.map(async upstream => upstream.setBehaviour(behaviour)));
});
