import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {Deployment} from '../harness/index.js';
import {RawUpstream, type RawAnswer} from '../stand-ins/raw-upstream.js';

const heldAnswerBytes = 1000;
const whole: RawAnswer = {text: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', end: 'keep'};
const large = 'x'.repeat(50 * heldAnswerBytes);

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

describe('answers through a daemon', () => {
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

	async function assertNeverWhole(answer: RawAnswer): Promise<void> {
		await serve([answer], [answer], [answer]);
		const told = await call('POST');
		assert.equal(told.type, 'unknown');
		assert.equal(upstreams.reduce((sum, {requests}) => sum + requests, 0), 1);
	}

	for (const [name, answer] of Object.entries(truncated)) {
		it(`should never pass a truncated answer for a whole one: ${name}`, async () => assertNeverWhole(answer));
	}

	it('should get the whole answer elsewhere for an idempotent request', async () => {
		await serve([truncated['chunked, reset']!], [whole]);
		const told = await call('GET');
		assert.deepEqual([told.type, told.type === 'cut' ? '' : told.body], ['answered', 'whole']);
	});

	it('should not send a request twice where a kept connection closes under it', async () => {
		await serve([whole, {text: '', end: 'reset'}]);
		const first = await call('POST');
		const second = await call('POST');
		assert.deepEqual([first.type, second.type], ['answered', 'unknown']);
		assert.equal(upstreams[0]!.requests, 2);
	});

	it('should reset the caller where a large answer breaks off', async () => {
		await serve([{text: `HTTP/1.1 200 OK\r\nContent-Length: ${large.length + 1}\r\n\r\n${large}`, end: 'reset'}]);
		const told = await call('GET');
		assert.equal(told.type, 'cut');
	});

	it('should stream a large answer whole', async () => {
		await serve([{text: `HTTP/1.1 200 OK\r\nContent-Length: ${large.length}\r\n\r\n${large}`, end: 'keep'}]);
		const told = await call('GET');
		assert.equal(told.type === 'answered' ? told.body : '', large);
	});

	it('should pass on no header that belongs to one connection', async () => {
		await serve([{text: 'HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nX-End: 1\r\nContent-Length: 5\r\n\r\nwhole', end: 'keep'}]);
		const told = await call('GET');
		assert.ok(told.type === 'answered');
		assert.deepEqual([told.headers['x-hop'], told.headers['x-end']], [undefined, '1']);
		assert.notEqual(told.headers['keep-alive'], 'timeout=9');
	});
});
