import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {Deployment} from '../harness/index.js';
import {RawUpstream, type RawAnswer} from '../stand-ins/raw-upstream.js';

const heldAnswerBytes = 1000;
const completeAnswer: RawAnswer = {text: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', end: 'keep'};
const largeBody = 'x'.repeat(50 * heldAnswerBytes);

const truncated: Record<string, RawAnswer> = {
	'content length, closed': {text: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nhalf', end: 'close'},
	'content length, reset': {text: 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf', end: 'reset'},
	'chunked, closed': {text: 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', end: 'close'},
	'chunked, reset': {text: 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', end: 'reset'},
	'no length, closed': {text: 'HTTP/1.1 200 OK\r\n\r\nhalf', end: 'close'},
	'no length, reset': {text: 'HTTP/1.1 200 OK\r\n\r\nhalf', end: 'reset'},
	'two lengths': {text: 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 10\r\n\r\nhalf', end: 'keep'},
	'no answer': {text: '', end: 'reset'},
};

/** Status lines that HTTP forbids. */
const invalidStatusLines = ['HTTP/1.1 000 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 200OK', 'HTTP/1.1 600 OK', 'HTTP/1.1 999 OK', 'HTTP/3.0 200 OK'];

describe('answers that a daemon passes on', () => {
	let deployment: Deployment;
	let upstreams: RawUpstream[] = [];

	before(async () => {
		deployment = await Deployment.start({services: [], daemons: 1, settings: {calls: {heldAnswerBytes}}});
	});

	afterEach(async () => {
		await Promise.all(upstreams.map(async upstream => upstream.stop()));
		upstreams = [];
	});

	after(async () => {
		await deployment.stop();
	});

	async function serve(...answers: ReadonlyArray<readonly RawAnswer[]>): Promise<void> {
		upstreams = await Promise.all(answers.map(async one => new RawUpstream(one).start()));
		const described = upstreams.map(({address}, index) => ({
			id: `raw-${index}`, address, availabilityZone: 'zone-a', slots: 4, connections: 400,
		}));
		await deployment.publish({kind: 'inventory', services: [{id: 'ledger', upstreams: described}]});
	}

	async function call(method: 'GET' | 'POST') {
		return deployment.caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: '/ledger/balance', method, body: method === 'POST' ? '{}' : undefined,
		});
	}

	async function assertOutcomeUnknown(answer: RawAnswer): Promise<void> {
		await serve([answer], [answer], [answer]);
		const result = await call('POST');
		assert.equal(result.type, 'unknown');
		assert.equal(upstreams.reduce((sum, {requests}) => sum + requests, 0), 1);
	}

	for (const [name, answer] of Object.entries(truncated)) {
		it(`should never pass on a truncated answer as a complete one: ${name}`, async () => assertOutcomeUnknown(answer));
	}

	for (const line of invalidStatusLines) {
		it(`should not pass on an answer with the status line ${line}`, async () => assertOutcomeUnknown({text: `${line}\r\nContent-Length: 5\r\n\r\nwhole`, end: 'keep'}));
	}

	it('should get the complete answer from another upstream for an idempotent request', async () => {
		await serve([truncated['chunked, reset']!], [completeAnswer]);
		const result = await call('GET');
		assert.deepEqual([result.type, result.type === 'cut' ? '' : result.body], ['answered', 'whole']);
	});

	it('should not send a request twice when a kept-alive connection closes during it', async () => {
		await serve([completeAnswer, {text: '', end: 'reset'}]);
		const first = await call('POST');
		const second = await call('POST');
		assert.deepEqual([first.type, second.type], ['answered', 'unknown']);
		assert.equal(upstreams[0]!.requests, 2);
	});

	it('should reset the caller\'s connection when a large answer is cut off', async () => {
		await serve([{text: `HTTP/1.1 200 OK\r\nContent-Length: ${largeBody.length + 1}\r\n\r\n${largeBody}`, end: 'reset'}]);
		const result = await call('GET');
		assert.equal(result.type, 'cut');
	});

	it('should stream a large answer completely', async () => {
		await serve([{text: `HTTP/1.1 200 OK\r\nContent-Length: ${largeBody.length}\r\n\r\n${largeBody}`, end: 'keep'}]);
		const result = await call('GET');
		assert.equal(result.type === 'answered' ? result.body : '', largeBody);
	});

	it('should not forward hop-by-hop headers', async () => {
		await serve([{text: 'HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nX-End: 1\r\nContent-Length: 5\r\n\r\nwhole', end: 'keep'}]);
		const result = await call('GET');
		assert.ok(result.type === 'answered');
		assert.deepEqual([result.headers['x-hop'], result.headers['x-end']], [undefined, '1']);
		assert.notEqual(result.headers['keep-alive'], 'timeout=9');
	});
});
