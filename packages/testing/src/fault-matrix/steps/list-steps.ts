/** Step definitions for the instance list of the platform. */
import {Given as given, Then as then} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {fetchAddresses} from '../fixtures/fetch-addresses.js';
import type {MatrixWorld} from './matrix-world.js';

given('the instance list is unavailable', function (this: MatrixWorld) {
	this.fleet.deployment.instanceList.setUnavailable(true);
});

// The stand-in returns the last registered state: a killed instance stays listed as live until its replacement starts.
given('the instance list lags', async function (this: MatrixWorld) {
	const addresses = this.instanceNames.map(name => this.addressOf(name));
	await waitFor('a list that contains all instances', async () => {
		const response = await fetch(`${this.fleet.deployment.instanceList.url}/instances`);
		const text = await response.text();
		return addresses.every(address => text.includes(address));
	});
});

then(/^instance (\w+) eventually lists only instance (\w+)$/u, async function (this: MatrixWorld, queried: string, expected: string) {
	await waitFor('addresses without the killed instance', async () => {
		const addresses = await fetchAddresses(this.addressOf(queried));
		return addresses.length === 1 && addresses[0] === this.addressOf(expected);
	});
});
