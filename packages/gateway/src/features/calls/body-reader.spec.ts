import assert from 'node:assert/strict';
import {once} from 'node:events';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {CallerMemory, maximumHeldBodyBytes} from '@cairnbank/core/connections';
import {createMetrics} from '../../metrics/metrics.js';
import {BodyReader, breakOff} from './body-reader.js';

function createReader(): BodyReader {
	const memory = new CallerMemory({
		clock: new ManualClock(), maximumBytes: 2 * maximumHeldBodyBytes, maximumBodyBytes: maximumHeldBodyBytes, answerBytes: () => 0,
	});
	return new BodyReader({memory, metrics: createMetrics()});
}

/** @param announced - its `Content-Length`; in chunks if undefined */
function requestWithBody(announced?: number): IncomingMessage {
	const request = new IncomingMessage(new Socket());
	request.headers = announced === undefined ? {'transfer-encoding': 'chunked'} : {'content-length': String(announced)};
	return request;
}

describe('BodyReader', () => {
	it('should fail if the caller disconnected while its request was held', async () => {
		const request = requestWithBody();
		request.destroy();
		await once(request, 'close');
		const body = await createReader().begin(request, 100).whole;
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should fail if the caller disconnects in the middle of its body', async () => {
		const request = requestWithBody();
		const reading = createReader().begin(request, 100).whole;
		request.push('pay');
		request.destroy();
		const body = await reading;
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should fail if the body broke off while its request was held', async () => {
		const request = requestWithBody();
		breakOff(request);
		const body = await createReader().begin(request, 100).whole;
		assert.equal(body._unsafeUnwrapErr(), 'broken-off');
	});

	it('should refuse a body that is too large', async () => {
		const request = requestWithBody();
		const reading = createReader().begin(request, 2).whole;
		request.push('pay');
		const body = await reading;
		assert.equal(body._unsafeUnwrapErr(), 'too-large');
	});

	describe('while other bodies fill the memory', () => {
		it('should refuse a body by its announced length, before it arrives', async () => {
			const reader = createReader();
			void reader.begin(requestWithBody(maximumHeldBodyBytes - 10), maximumHeldBodyBytes).whole;
			const body = await reader.begin(requestWithBody(11), 100).whole;
			assert.equal(body._unsafeUnwrapErr(), 'no-room');
		});

		it('should refuse a body without an announced length once it doesn\'t fit', async () => {
			const reader = createReader();
			void reader.begin(requestWithBody(maximumHeldBodyBytes - 2), maximumHeldBodyBytes).whole;
			const request = requestWithBody();
			const reading = reader.begin(request, 100).whole;
			request.push('pay');
			const body = await reading;
			assert.equal(body._unsafeUnwrapErr(), 'no-room');
		});

		it('should read further ones once a body is released or broken off', async () => {
			const reader = createReader();
			const requests = [requestWithBody(maximumHeldBodyBytes - 3), requestWithBody(3)];
			const [broken, whole] = requests.map(async request => reader.begin(request, maximumHeldBodyBytes).whole);
			requests[0]!.destroy();
			await broken;
			requests[1]!.push('pay');
			requests[1]!.push(null);
			const body = await whole!;
			body._unsafeUnwrap().release();
			const next = requestWithBody(maximumHeldBodyBytes);
			const reading = reader.begin(next, maximumHeldBodyBytes).whole;
			next.destroy();
			const end = await reading;
			assert.equal(end._unsafeUnwrapErr(), 'broken-off');
		});
	});
});
