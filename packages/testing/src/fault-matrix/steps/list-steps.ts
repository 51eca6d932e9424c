/** Steps about the platform's list of instances. */
import {Given as given, Then as then} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {askAddresses} from '../fixtures/ask-addresses.js';
import type {MatrixWorld} from './matrix-world.js';

given('the instance list is away', function (this: MatrixWorld) {
	this.fleet.deployment.instanceList.setUnavailable(true);
});

// The stand-in shows what it was told last: a killed instance stays in it as live until the next one starts.
given('the instance list lags', async function (this: MatrixWorld) {
	const addresses = this.instanceNames.map(name => this.address(name));
	await waitFor('a list that shows all', async () => {
		const response = await fetch(`${this.fleet.deployment.instanceList.url}/instances`);
		const text = await response.text();
		return addresses.every(address => text.includes(address));
	});
});

then(/^instance (\w+) soon offers instance (\w+) alone$/u, async function (this: MatrixWorld, asked: string, offered: string) {
	await waitFor('addresses without the killed instance', async () => {
		const addresses = await askAddresses(this.address(asked));
		return addresses.length === 1 && addresses[0] === this.address(offered);
	});
});
