import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {CallersHarness, type HarnessCaller} from './callers-task-fixture.js';

const maximumWaitMs = 5000;
const harnesses: CallersHarness[] = [];
const callers: HarnessCaller[] = [];

async function connect(): Promise<{readonly harness: CallersHarness; readonly caller: HarnessCaller}> {
	const harness = await new CallersHarness().start();
	const caller = harness.connect();
	harnesses.push(harness);
	callers.push(caller);
	return {harness, caller};
}

async function waitUntil(description: string, condition: () => boolean): Promise<void> {
	for (const startMs = performance.now(); !condition();) {
		assert.ok(performance.now() - startMs < maximumWaitMs, description);
		await delay(5);
	}
}

describe('a request whose body stops short of its end', () => {
	afterEach(() => {
		for (const caller of callers.splice(0)) {
			caller.leave();
		}

		for (const harness of harnesses.splice(0)) {
			harness.task.stop();
		}
	});

	// Guards against memory that is held, and a caller that is told nothing, until the runtime ends the connection after minutes.
	it('should be told at its deadline that it has not run, and its connection should close', async () => {
		const {harness, caller} = await connect();
		await caller.sendText('POST /answers/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nDeadline: 100\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n');
		await waitUntil('an answer', () => caller.statuses.length > 0);
		await waitUntil('its end', () => caller.isClosed);
		assert.deepEqual(caller.statuses, [408]);
		assert.equal(harness.openRequests, 0);
		const held = await harness.metrics.heldBodyBytes.get();
		assert.equal(held.values[0]!.value, 0);
	});

	it('should be answered if the rest comes in time', async () => {
		const {caller} = await connect();
		await caller.sendText('POST /answers/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nDeadline: 4000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n');
		await delay(50);
		await caller.sendText('0\r\n\r\n');
		await waitUntil('an answer', () => caller.statuses.length > 0);
		assert.deepEqual(caller.statuses, [200]);
	});
});
