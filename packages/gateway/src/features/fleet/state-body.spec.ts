import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import type {ServiceId} from '@cairnbank/core';
import {createRandomSource} from '@cairnbank/core/random';
import {unknownEpoch} from '@cairnbank/core/registry';
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import {decodeState, encodeState} from './state-body.js';

const routeCount = 1200;

function largeConfiguration(): GatewayConfiguration {
	const random = createRandomSource(7);
	const word = () => Math.floor(random.next() * (36 ** 6)).toString(36);
	return {
		version: 4,
		services: [{id: 'ledger' as ServiceId, healthPath: '/health', maximumConnections: 100}],
		hosts: [{
			host: 'pay.example',
			routes: Array.from({length: routeCount}, (_, index) => ({
				id: `r-${word()}`,
				pathPrefix: `/path${index}/${word()}/`,
				idempotent: true,
				timeoutMs: 1000,
				targetLatencyMs: 300,
				priority: 2,
				maximumAttempts: 2,
				services: [{service: 'ledger' as ServiceId, weight: 100}],
			})),
		}],
		limits: {
			maximumHeaderBytes: 8192, maximumBodyBytes: 65_536, headerTimeoutMs: 5000, idleTimeoutMs: 4000,
		},
	};
}

describe('encoded state', () => {
	it('should be decoded without a change', async () => {
		const state = {epoch: unknownEpoch, configuration: largeConfiguration(), registry: {endOffset: 3, records: []}};
		const decoded = await decodeState(await encodeState(state));
		assert.deepEqual(decoded._unsafeUnwrap(), state);
	});

	it('should take less than a tenth of the bytes of its JSON if it is large', async () => {
		const state = {epoch: unknownEpoch, configuration: largeConfiguration()};
		const bytes = await encodeState(state);
		assert.ok(bytes.length * 10 < JSON.stringify(state).length, `${bytes.length} bytes`);
	});

	for (const [name, bytes] of Object.entries({
		'uncompressed text': Buffer.from('{}'),
		'truncated text': deflateRawSync('{"configuration": {}}').subarray(0, 12),
		'text that is not JSON': deflateRawSync('state'),
		'JSON of another shape': deflateRawSync('{"configuration": {"version": "4"}}'),
		'more bytes than the maximum': deflateRawSync(Buffer.alloc(20_000_000)),
	})) {
		it(`should be distinguished from ${name}`, async () => {
			const decoded = await decodeState(bytes);
			assert.ok(decoded.isErr());
		});
	}
});
