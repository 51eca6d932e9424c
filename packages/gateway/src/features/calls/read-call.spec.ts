import assert from 'node:assert/strict';
import {once} from 'node:events';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {breakOff, readBody} from './read-call.js';

describe('readBody', () => {
	it('should fail if the caller disconnected while its request was held', async () => {
		const request = new IncomingMessage(new Socket());
		request.destroy();
		await once(request, 'close');
		const body = await readBody(request, 100);
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should fail if the caller disconnects in the middle of its body', async () => {
		const request = new IncomingMessage(new Socket());
		const reading = readBody(request, 100);
		request.push('pay');
		request.destroy();
		const body = await reading;
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should fail if the body broke off while its request was held', async () => {
		const request = new IncomingMessage(new Socket());
		breakOff(request);
		const body = await readBody(request, 100);
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should refuse a body that is too large', async () => {
		const request = new IncomingMessage(new Socket());
		const reading = readBody(request, 2);
		request.push('pay');
		const body = await reading;
		assert.equal(body._unsafeUnwrapErr(), 'too-large');
	});
});
