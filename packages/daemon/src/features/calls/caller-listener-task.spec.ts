import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {inventorySchema} from '@cairnbank/core';
import {initialConfiguration} from '@cairnbank/core/configuration';
import {notRun} from '@cairnbank/core/outcomes';
import {request} from 'undici';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {CallerListenerTask} from './caller-listener-task.js';
import {HeldAnswers} from './held-answers.js';

const heldBytes = 1_000_000;
const runMs = 50;

describe('CallerListenerTask', () => {
	let task: CallerListenerTask;

	beforeEach(async () => {
		const context = createContextFixture();
		task = new CallerListenerTask(context, {
			async handler({path}) {
				if (path === '/faulty') {
					throw new Error('a fault of the program');
				}

				await delay(runMs);
				return notRun('no-upstream');
			},
			heldAnswers: new HeldAnswers(heldBytes),
			routes: [],
		});
		const inventory = inventorySchema.parse({kind: 'inventory', services: [{id: 'ledger', upstreams: []}]});
		context.bus.send({type: 'configuration-in-force', configuration: {...initialConfiguration, inventory}});
		const started = await task.start();
		assert.ok(started.isOk());
	});

	afterEach(async () => {
		await task.stop();
	});

	async function call(path: string): Promise<[number, string]> {
		const {statusCode, headers, body} = await request(`http://${task.address!}/ledger${path}`, {method: 'POST'});
		await body.dump();
		return [statusCode, String(headers['cairnbank-outcome'])];
	}

	// Guards against a fault in one call that ends the process under all others.
	it('should answer a call that a fault of the program ends as unknown, and the others with their outcomes', async () => {
		assert.deepEqual(await Promise.all([call('/sound'), call('/faulty')]), [[503, 'not-run'], [502, 'unknown']]);
		await task.drain();
		assert.equal(task.inFlight, 0);
	});
});
