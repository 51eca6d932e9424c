/** Step definitions for faults of the platform log. */
import {When as when} from '@cucumber/cucumber';
import type {MatrixWorld} from './matrix-world.js';

/** Less than the fleet's `claimWaitMs` of 1500, and more than a claim takes without the fault. */
const slowAppendMs = 150;

when('the log is down', async function (this: MatrixWorld) {
	await this.fleet.disconnectLog();
});

when('the log is slow', async function (this: MatrixWorld) {
	await this.fleet.deployment.log.setFaults({delayMs: slowAppendMs});
});

when('the log loses the next acknowledgement', async function (this: MatrixWorld) {
	await this.fleet.deployment.log.setFaults({loseAcknowledgements: 1});
});
