import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment, waitFor} from '../harness/index.js';

const head = 'Host: entry\r\nConnection: close\r\n';
const oversized = `X-Filler: ${'a'.repeat(20_000)}\r\n`;

describe('malformed and unroutable requests', () => {
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start({services: [{id: 'records', upstreams: 1}], daemons: 1});
		await deployment.publishInventory();
	});
	after(async () => deployment.stop());

	/** Sends the bytes over a new connection and returns everything received on it, or '' if the connection is reset. */
	async function exchange(bytes: string): Promise<string> {
		const [host, port] = deployment.daemons[0]!.callersAddress.split(':');
		const socket = connect(Number(port), host);
		socket.write(Buffer.from(bytes, 'latin1'));
		try {
			return await text(socket);
		} catch {
			return '';
		}
	}

	function runsOf(requestId: string): number | undefined {
		return deployment.countRuns().get(requestId);
	}

	const refused: ReadonlyArray<{readonly what: string; readonly bytes: string; readonly status: number}> = [
		{what: 'bytes that are not HTTP', bytes: '\0\u0001\u0002\r\n\r\n', status: 400},
		{what: 'a TLS client hello', bytes: '\u0016\u0003\u0001\u0002\0\u0001\0\u0001', status: 400},
		{what: 'headers beyond the size limit', bytes: `GET /records/x HTTP/1.1\r\n${head}${oversized}\r\n`, status: 431},
		{what: 'two content lengths', bytes: `POST /records/x HTTP/1.1\r\n${head}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x`, status: 400},
		{what: 'a content length and chunked encoding', bytes: `POST /records/x HTTP/1.1\r\n${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, status: 400},
		{what: 'an invalid chunk size', bytes: `POST /records/x HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\nZZ\r\n{}\r\n0\r\n\r\n`, status: 400},
		{what: 'a body beyond the size limit', bytes: `POST /records/x HTTP/1.1\r\n${head}Content-Length: 9999999\r\n\r\n{}`, status: 413},
		{what: 'an unknown expectation', bytes: `POST /records/x HTTP/1.1\r\n${head}Expect: wonders\r\nContent-Length: 2\r\n\r\n{}`, status: 417},
		{what: 'CONNECT', bytes: 'CONNECT 127.0.0.1:80 HTTP/1.1\r\nHost: entry\r\n\r\n', status: 400},
		{what: 'an unknown service', bytes: `GET /nothing/x HTTP/1.1\r\n${head}\r\n`, status: 404},
		{what: 'a path with `..` segments', bytes: `GET /../records/x HTTP/1.1\r\n${head}\r\n`, status: 404},
		{what: 'an unknown built-in route', bytes: `GET /.well-known/cairnbank/nothing HTTP/1.1\r\n${head}\r\n`, status: 404},
		{what: 'an operators\' procedure at the callers\' port', bytes: `GET /operators/status HTTP/1.1\r\n${head}\r\n`, status: 404},
	];
	for (const {what, bytes, status} of refused) {
		it(`should be refused as not run with ${status}: ${what}`, async () => {
			const answer = await exchange(bytes);
			assert.match(answer, new RegExp(`^HTTP/1\\.1 ${status} `));
			assert.match(answer, /^cairnbank-outcome: not-run\r$/im);
		});
	}

	// Guards against a payment that runs and gets no answer, as bytes behind it are no request.
	for (const [what, rest] of [['not HTTP', '\0nonsense\r\n\r\n'], ['headers beyond the size limit', `GET /records/x HTTP/1.1\r\n${head}${oversized}\r\n`]] as const) {
		it(`should leave the only answer on the connection to an earlier request that is still running: ${what}`, async () => {
			const requestId = `before ${what}`;
			const running = `POST /records/x HTTP/1.1\r\nHost: entry\r\nx-request-id: ${requestId}\r\nx-service-ms: 100\r\nContent-Length: 2\r\n\r\n{}`;
			const answer = await exchange(running + rest);
			assert.match(answer, /^HTTP\/1\.1 200 /);
			assert.equal(answer.split('HTTP/1.1 ').length - 1, 1);
			assert.doesNotMatch(answer, /not-run/);
			assert.equal(runsOf(requestId), 1);
		});
	}

	it('should leave the instance able to serve requests', async () => {
		await waitFor('an answer', async () => {
			const result = await deployment.caller.call({instance: deployment.daemons[0]!.callersAddress, path: '/records/x'});
			return result.type === 'answered';
		});
	});
});
