import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {success} from './call-run-fixture.js';
import {CallersHarness, type HarnessCaller, type Stage} from './callers-task-fixture.js';

/** Time in which bytes on loopback are read, and idle connections are closed. */
const settleMs = 100;
/** Longer than the wait for arrivals as a listener closes. */
const closingMs = 500;
const maximumWaitMs = 5000;
const harnesses: CallersHarness[] = [];
const callers: HarnessCaller[] = [];

async function startHarness(): Promise<CallersHarness> {
	const harness = await new CallersHarness().start();
	harnesses.push(harness);
	return harness;
}

function connectCaller(harness: CallersHarness): HarnessCaller {
	const caller = harness.connect();
	callers.push(caller);
	return caller;
}

function answerOf(bytes: number): typeof success {
	return ok({...success.value, body: Buffer.alloc(bytes)});
}

function requestText(stage: Stage, {body = 'ab', headers = ''} = {}): string {
	return `POST /${stage}/1 HTTP/1.1\r\nHost: h\r\nId: r\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (const startMs = performance.now(); !condition() && performance.now() - startMs < maximumWaitMs;) {
		await delay(5);
	}
}

describe('a connection that closes with its last answer', () => {
	afterEach(() => {
		for (const caller of callers.splice(0)) {
			caller.leave();
		}

		for (const harness of harnesses.splice(0)) {
			harness.task.stop();
		}
	});

	// Guards against whole requests that stay unread behind a long answer, and are dropped by the next one.
	it('should answer the requests that were not read while a long answer was written', async () => {
		const harness = await startHarness();
		harness.answer = answerOf(6_000_000);
		const caller = connectCaller(harness);
		caller.pause();
		for (let index = 0; index < 3; index++) {
			await caller.sendText(requestText('answers'));
			await delay(settleMs);
		}

		harness.leave();
		void harness.task.drain();
		await delay(closingMs);
		caller.resume();
		await waitUntil(() => caller.isClosed);
		assert.equal(caller.statuses.length, 3);
	});

	// Guards against whole requests that stay unread behind the body of one that is refused before it was read.
	it('should answer a request behind a long body of one that was held at the start', async () => {
		const harness = await startHarness();
		harness.isStarting = true;
		const caller = connectCaller(harness);
		await caller.sendText(requestText('answers', {body: 'x'.repeat(400_000)}) + requestText('answers'));
		await delay(settleMs);
		harness.leave();
		harness.task.expire();
		await waitUntil(() => caller.isClosed);
		assert.deepEqual(caller.statuses, [503, 503]);
	});

	// Guards against a reset under the last answer as idle connections are closed.
	it('should be left open for the rest of its last answer as idle connections close', async () => {
		const harness = await startHarness();
		const bodyBytes = 200_000;
		harness.answer = answerOf(bodyBytes);
		const caller = connectCaller(harness);
		caller.pause();
		harness.task.leave();
		await caller.sendText(requestText('answers'));
		await delay(settleMs);
		await waitUntil(() => harness.openRequests === 0);
		void harness.task.drain();
		await delay(settleMs);
		await caller.sendText(requestText('answers'));
		await delay(settleMs);
		caller.resume();
		await waitUntil(() => caller.isClosed);
		assert.ok(caller.receivedBytes > bodyBytes, `${caller.receivedBytes} bytes received`);
	});

	// Guards against the reset of an answer that was written before the stop, as its caller sends the next request on a connection that closes as idle.
	for (const [name, further] of [['a request', requestText('upstream')], ['bytes that are no request', '\0\0\0\0\r\n\r\n']] as const) {
		it(`should be left open for the rest of an answer as it closes as idle, and run nothing of ${name} behind it`, async () => {
			const harness = await startHarness();
			const bodyBytes = 200_000;
			harness.answer = answerOf(bodyBytes);
			const caller = connectCaller(harness);
			caller.pause();
			await caller.sendText(requestText('answers'));
			await delay(settleMs);
			await waitUntil(() => harness.openRequests === 0);
			harness.leave();
			let isDrained = false;
			void (async () => {
				await harness.task.drain();
				isDrained = true;
			})();

			await delay(closingMs);
			await caller.sendText(further);
			await delay(settleMs);
			await caller.sendText(further);
			await delay(settleMs);
			assert.deepEqual([isDrained, harness.openRequests], [false, 0]);
			caller.resume();
			await waitUntil(() => caller.isClosed && isDrained);
			assert.deepEqual([isDrained, caller.statuses], [true, [200]]);
			assert.ok(caller.receivedBytes > bodyBytes, `${caller.receivedBytes} bytes received`);
		});
	}

	// Guards against earlier requests that lose their answers as the server destroys the connection.
	it('should answer the requests before a CONNECT', async () => {
		const harness = await startHarness();
		const caller = connectCaller(harness);
		await caller.sendText(`${requestText('answers')}CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n`);
		await waitUntil(() => caller.isClosed);
		assert.equal(caller.statuses[0], 200);
	});

	// Guards against a request that the server refuses by itself, behind one whose answer closes the connection.
	it('should answer a request with an unknown expectation behind others', async () => {
		const harness = await startHarness();
		const caller = connectCaller(harness);
		await caller.sendText(requestText('upstream') + requestText('answers', {headers: 'Expect: other\r\n'}));
		await delay(settleMs);
		harness.leave();
		harness.task.expire();
		await waitUntil(() => caller.isClosed);
		assert.deepEqual(caller.statuses, [504, 417]);
	});

	// Guards against a request that nothing answers any more, as its outcome counts as given before it is.
	it('should answer a request whose outcome could not be logged', async () => {
		const harness = await startHarness();
		const caller = connectCaller(harness);
		harness.leave();
		const {info} = harness.logger;
		harness.logger.info = () => {
			harness.logger.info = info;
			throw new Error('a fault of the log');
		};

		await caller.sendText(requestText('answers'));
		await delay(settleMs);
		harness.task.expire();
		await waitUntil(() => caller.isClosed);
		assert.equal(caller.statuses.length, 1);
	});
});
