/** Steps about upstreams that leave. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {inventoryOf} from '../fixtures/fleet.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {sendRequest} from '../fixtures/send-request.js';
import type {MatrixWorld} from './matrix-world.js';

/** One of these in a row at the second upstream is luck; so many are not. */
const queriesInARow = 12;

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
			this.fleet.deployment.list.put({
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

then('every instance sends new work to the second upstream alone', async function (this: MatrixWorld) {
	const [first] = this.upstreams;
	for (const name of this.instanceNames) {
		await waitFor(`no new work from ${name} to the leaving upstream`, async () => {
			const before = first!.received;
			for (let sent = 0; sent < queriesInARow; sent++) {
				const told = await sendRequest(this.newRequest('query'), {address: this.address(name)});
				assert.equal(told.type, 'answered');
			}

			return first!.received === before;
		});
	}
});
