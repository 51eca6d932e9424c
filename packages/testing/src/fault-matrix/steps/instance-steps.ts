/** Steps about entry instances: what befalls the one that holds a request, and what comes after. */
import assert from 'node:assert/strict';
import {Given as given, Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {isRequestStep} from '../cells/request-steps.js';
import {parseRequestKind} from '../fixtures/request-kind.js';
import {sendRequest} from '../fixtures/send-request.js';
import {holdRequest} from './hold-request.js';
import type {MatrixWorld} from './matrix-world.js';

given(/^a (payment.*|query) that instance (\w+) holds at "(.+)"$/u, async function (this: MatrixWorld, kind: string, instance: string, step: string) {
	assert.ok(isRequestStep(step), `no such step: ${step}`);
	await holdRequest(this, parseRequestKind(kind), step, instance);
	this.heldAtMs = performance.now();
});

when(/^instance (\w+) is (killed|paused|replaced|told to stop|back)$/u, async function (this: MatrixWorld, name: string, event: string) {
	switch (event) {
		case 'killed': {
			await this.fleet.getInstance(name).kill();
			break;
		}

		case 'paused': {
			this.fleet.pause(name);
			break;
		}

		case 'replaced': {
			await this.fleet.replace(name);
			break;
		}

		case 'told to stop': {
			this.fleet.requestShutdown(name);
			break;
		}

		default: {
			this.fleet.resume(name);
		}
	}
});

when('the deadline of the first send has passed', async function (this: MatrixWorld) {
	await waitFor('a time past the deadline', () => performance.now() > this.heldAtMs + this.deadlineMs);
});

when('what was held goes on', async function (this: MatrixWorld) {
	await this.resumeAll();
});

when('what was held goes on as it is', async function (this: MatrixWorld) {
	this.answersOnResume = false;
	await this.resumeAll();
});

when('the caller gives up', async function (this: MatrixWorld) {
	await this.abortOpenExchanges();
});

given('callers that allow {int} ms', function (this: MatrixWorld, deadlineMs: number) {
	this.deadlineMs = deadlineMs;
});

when(/^the caller sends it again through instance (\w+)(?:, allowing (\d+) ms)?$/u, async function (this: MatrixWorld, name: string, deadlineMs: string | undefined) {
	await sendRequest(this.request, {address: this.address(name), deadlineMs: deadlineMs ?? undefined});
});

when('what is under way has ended', async function (this: MatrixWorld) {
	await Promise.all(this.openExchanges);
});

then(/^instance (\w+) ends by itself with code (\d+)$/u, async function (this: MatrixWorld, name: string, code: string) {
	const exit = await this.fleet.getInstance(name).process.exited;
	assert.deepEqual(exit, {code: Number(code), signal: undefined});
});
