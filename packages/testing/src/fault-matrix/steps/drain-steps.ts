/** Steps about upstreams that leave. */
import {Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {inventoryOf} from '../fixtures/fleet.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {fillQueue} from './hold-request.js';
import type {MatrixWorld} from './matrix-world.js';

when(/^a second upstream joins and the first one (.+)$/u, async function (this: MatrixWorld, sign: string) {
	const [first] = this.upstreams;
	const second = await new ScriptedUpstream(`${this.service}-2`).start();
	this.upstreams.push(second);
	this.answersOnceOn = true;
	const stays = sign !== 'leaves the inventory';
	await this.fleet.publish(inventoryOf(this.service, stays ? [first!, second] : [second]));
	switch (sign) {
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

		case 'marks its answers': {
			first!.draining = true;
			break;
		}

		case 'leaves the inventory': {
			break;
		}

		default: {
			throw new Error(`no such sign: ${sign}`);
		}
	}
});

when(/^a second upstream takes the place of the first one, as instance (\w+) hears$/u, async function (this: MatrixWorld, name: string) {
	const second = await new ScriptedUpstream(`${this.service}-2`).start();
	this.upstreams.push(second);
	this.answersOnceOn = true;
	await this.fleet.publishAs('operator', inventoryOf(this.service, [second]), this.fleet.offset);
	await this.fleet.known(name).waitForConfiguration(this.fleet.offset);
});

// The second upstream holds what it gets until it is at its limit: the first one, idle, would get the next request.
then('every instance sends new work to the second upstream alone', async function (this: MatrixWorld) {
	const [first, second] = this.upstreams;
	for (const name of this.instanceNames) {
		await waitFor(`no new work from ${name} to the leaving upstream`, async () => {
			const before = first!.received;
			await second!.setBehaviour('run it and wait');
			await fillQueue(this, 'query', name);
			const isAlone = first!.received === before;
			await this.goOn();
			await Promise.all(this.underWay);
			return isAlone;
		});
	}
});
