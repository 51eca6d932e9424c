import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {systemClock} from '@cairnbank/core';
import {ok} from 'neverthrow';
import type {LogFields} from '../../logging/create-logger.js';
import {success} from './call-run-fixture.js';
import {CallersHarness, type HarnessCaller} from './callers-task-fixture.js';

/** Fits into the buffers between a server and its caller. */
const answerBytes = 200_000;
const maximumWaitMs = 5000;
const harnesses: CallersHarness[] = [];
const callers: HarnessCaller[] = [];

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	for (const startMs = performance.now(); !await condition() && performance.now() - startMs < maximumWaitMs;) {
		await delay(5);
	}
}

async function sum(counter: CallersHarness['metrics']['requests' | 'undeliveredAnswers']): Promise<number> {
	const {values} = await counter.get();
	return values.reduce((total, {value}) => total + value, 0);
}

/** Starts an instance that stops while an answer of it has left the process, and its caller has read nothing of it. */
/** @param target - target of the request; that of the stage if undefined */
async function stopWithUnreadAnswer(target?: string): Promise<{harness: CallersHarness; caller: HarnessCaller; warnings: LogFields[]}> {
	const harness = await new CallersHarness().start();
	harnesses.push(harness);
	const warnings: LogFields[] = [];
	harness.logger.warn = (_event, fields) => {
		warnings.push(fields);
	};

	harness.answer = ok({...success.value, body: Buffer.alloc(answerBytes)});
	harness.task.leave();
	const caller = harness.connect();
	callers.push(caller);
	caller.pause();
	if (target === undefined) {
		caller.send(['answers']);
	} else {
		await caller.sendText(`GET ${target} HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n`);
	}

	await waitUntil(async () => await sum(harness.metrics.requests) === 1 && harness.openRequests === 0);
	return {harness, caller, warnings};
}

describe('an instance that has written an answer', () => {
	afterEach(() => {
		for (const caller of callers.splice(0)) {
			caller.leave();
		}

		for (const harness of harnesses.splice(0)) {
			harness.task.stop();
		}
	});

	// Guards against targets that are kept whole with each answer that its caller has not read.
	it('should name it by the beginning of its target', async () => {
		const {harness, caller, warnings} = await stopWithUnreadAnswer(`/answers/${'t'.repeat(5000)}`);
		caller.reset();
		await waitUntil(() => warnings.length > 0);
		assert.match(String(warnings[0]!.target), /^\/answers\/t+…$/);
		assert.ok(String(warnings[0]!.target).length < 300);
		assert.equal(harness.openRequests, 0);
	});

	it('should report it as the stop ends before the caller has closed', async () => {
		const {harness, warnings} = await stopWithUnreadAnswer();
		harness.task.stop();
		assert.deepEqual(warnings.map(({id, reason, status, answerBytes: bytes, heldBytes}) => [id, reason, status, bytes, heldBytes]), [['r', 'stop-over', 200, answerBytes, 0]]);
		assert.equal(await sum(harness.metrics.undeliveredAnswers), 1);
	});

	// Guards against a time since the start of the process in place of the time since the answer was written.
	it('should report how long ago it was written', async () => {
		const startMs = systemClock.monotonicMs();
		const {harness, warnings} = await stopWithUnreadAnswer();
		harness.task.stop();
		const elapsedMs = systemClock.monotonicMs() - startMs;
		const writtenMsAgo = Number(warnings[0]?.writtenMsAgo);
		assert.ok(writtenMsAgo <= Math.ceil(elapsedMs), `${writtenMsAgo} ms, ${elapsedMs} ms since the start of the test`);
	});

	it('should report it as the caller resets the connection', async () => {
		const {harness, caller, warnings} = await stopWithUnreadAnswer();
		caller.reset();
		await waitUntil(() => warnings.length > 0);
		harness.task.stop();
		assert.deepEqual(warnings.map(({reason}) => reason), ['caller-reset']);
	});

	it('should not report it once the caller has read it and closed', async () => {
		const {harness, caller, warnings} = await stopWithUnreadAnswer();
		caller.resume();
		await waitUntil(() => caller.isClosed);
		await harness.task.drain();
		harness.task.stop();
		assert.deepEqual(warnings, []);
		assert.equal(await sum(harness.metrics.undeliveredAnswers), 0);
	});
});
