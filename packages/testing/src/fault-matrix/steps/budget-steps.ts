/** Step definitions for the probe budget. */
import assert from 'node:assert/strict';
import {Given as given, Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import type {MatrixWorld} from './matrix-world.js';

const millisecondsPerSecond = 1000;

type Budget = {
	readonly perSecond: number;
	readonly startMs: number;
};

const budgetByWorld = new WeakMap<MatrixWorld, Budget>();

given('a service with 1 upstream and a budget of {int} probes per second for {int} instances', async function (this: MatrixWorld, perSecond: number, instances: number) {
	budgetByWorld.set(this, {perSecond, startMs: performance.now()});
	await this.startService(['answer'], {
		policy: {type: 'hot-cold'},
		probes: {
			perSecondPerUpstream: perSecond, maximumInstances: instances, slotTimeRatio: 1, costMs: 1,
		},
	});
});

when('the upstream has received {int} more probes', async function (this: MatrixWorld, more: number) {
	const [upstream] = this.upstreams;
	const before = upstream!.probeCount;
	await waitFor(`${more} probes`, () => upstream!.probeCount >= before + more);
});

// Compares with the elapsed time, so the check holds on a slow machine too. Each instance may send one probe more than the rate allows.
then('the upstream has received no more probes than the budget allows', function (this: MatrixWorld) {
	const {perSecond, startMs} = budgetByWorld.get(this)!;
	const elapsedSeconds = (performance.now() - startMs) / millisecondsPerSecond;
	const allowed = (perSecond * elapsedSeconds) + this.instanceNames.length;
	const {probeCount: probes} = this.upstreams[0]!;
	assert.ok(probes <= allowed, `${probes} probes in ${elapsedSeconds.toFixed(2)} s`);
});
