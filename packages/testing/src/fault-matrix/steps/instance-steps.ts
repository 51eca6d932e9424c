/** Step definitions for instances: faults of the one that handles a request, and the requests sent afterwards. */
import assert from 'node:assert/strict';
import {Given as given, Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {isRequestStep} from '../cells/request-steps.js';
import {parseRequestKind} from '../fixtures/request-kind.js';
import {sendRequest} from '../fixtures/send-request.js';
import {holdRequest} from './hold-request.js';
import type {MatrixWorld} from './matrix-world.js';

given(/^a (payment.*|query) through instance (\w+) is held at the step "(.+)"$/u, async function (this: MatrixWorld, kind: string, instance: string, step: string) {
	assert.ok(isRequestStep(step), `unknown step: ${step}`);
	await holdRequest(this, parseRequestKind(kind), step, instance);
	this.heldAtMs = performance.now();
});

when(/^instance (\w+) is (killed|paused|replaced|asked to shut down|resumed)$/u, async function (this: MatrixWorld, name: string, event: string) {
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

		case 'asked to shut down': {
			this.fleet.requestShutdown(name);
			break;
		}

		default: {
			this.fleet.resume(name);
		}
	}
});

when('the deadline of the first attempt has passed', async function (this: MatrixWorld) {
	await waitFor('a time past the deadline', () => performance.now() > this.heldAtMs + this.deadlineMs);
});

when('the held requests resume', async function (this: MatrixWorld) {
	await this.resumeAll();
});

when('the held requests resume with the upstreams unchanged', async function (this: MatrixWorld) {
	this.answersOnResume = false;
	await this.resumeAll();
});

when('the caller closes its connections', async function (this: MatrixWorld) {
	await this.abortOpenExchanges();
});

given('callers set a deadline of {int} ms', function (this: MatrixWorld, deadlineMs: number) {
	this.deadlineMs = deadlineMs;
});

when(/^the caller (?:re)?sends the request through instance (\w+)(?: with a deadline of (\d+) ms)?$/u, async function (this: MatrixWorld, name: string, deadlineMs: string | undefined) {
	await sendRequest(this.request, {address: this.addressOf(name), deadlineMs: deadlineMs ?? undefined});
});

when('all open requests have ended', async function (this: MatrixWorld) {
	await Promise.all(this.openExchanges);
});

then(/^instance (\w+) exits with code (\d+)$/u, async function (this: MatrixWorld, name: string, code: string) {
	const exit = await this.fleet.getInstance(name).process.exited;
	assert.deepEqual(exit, {code: Number(code), signal: undefined});
});
