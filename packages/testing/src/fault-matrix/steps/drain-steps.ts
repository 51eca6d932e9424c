/** Step definitions for leaving upstreams. */
import {Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {createInventory} from '../fixtures/fleet.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {fillQueue} from './hold-request.js';
import type {MatrixWorld} from './matrix-world.js';

when(/^a second upstream joins and the first one (.+)$/u, async function (this: MatrixWorld, signal: string) {
	const [first] = this.upstreams;
	const second = await new ScriptedUpstream(`${this.service}-2`).start();
	this.upstreams.push(second);
	this.answersOnResume = true;
	const isListed = signal !== 'is removed from the inventory';
	await this.fleet.publish(createInventory(this.service, isListed ? [first!, second] : [second]));
	switch (signal) {
		case 'is drained by an operator': {
			await this.fleet.publish({kind: 'drain', upstream: first!.id, draining: true});
			break;
		}

		case 'is listed as leaving': {
			this.fleet.deployment.instanceList.put({
				id: first!.id, role: 'upstream', address: first!.address, availabilityZone: 'zone-a', state: 'leaving',
			});
			break;
		}

		case 'sets the draining header': {
			first!.isDraining = true;
			break;
		}

		case 'is removed from the inventory': {
			break;
		}

		default: {
			throw new Error(`unknown drain signal: ${signal}`);
		}
	}
});

when(/^a second upstream replaces the first one in the configuration of instance (\w+)$/u, async function (this: MatrixWorld, name: string) {
	const second = await new ScriptedUpstream(`${this.service}-2`).start();
	this.upstreams.push(second);
	this.answersOnResume = true;
	await this.fleet.publishAs('operator', createInventory(this.service, [second]), this.fleet.publishedOffset);
	await this.fleet.getInstance(name).waitForConfiguration(this.fleet.publishedOffset);
});

// The second upstream holds its requests until it is at its limit, so the idle first upstream would get the next one if it were eligible.
then('every instance sends new requests only to the second upstream', async function (this: MatrixWorld) {
	const [first, second] = this.upstreams;
	for (const name of this.instanceNames) {
		await waitFor(`no new requests from ${name} to the leaving upstream`, async () => {
			const before = first!.receivedCount;
			await second!.setBehaviour('run it and wait');
			await fillQueue(this, 'query', name);
			const hasFirstGotNone = first!.receivedCount === before;
			await this.resumeAll();
			await Promise.all(this.openExchanges);
			return hasFirstGotNone;
		});
	}
});
