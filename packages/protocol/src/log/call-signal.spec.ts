import assert from 'node:assert/strict';
import {getEventListeners, once} from 'node:events';
import {describe, it} from 'node:test';
import {CallSignal} from './call-signal.js';

const longMs = 60_000;

describe('call signal', () => {
	it('should abort after its timeout', async () => {
		const call = new CallSignal(1);
		await once(call.signal, 'abort');
		assert.equal((call.signal.reason as Error).name, 'TimeoutError');
	});

	it('should abort with its source, or at once if the source is already aborted', () => {
		const source = new AbortController();
		const call = new CallSignal(longMs, source.signal);
		source.abort('stopping');
		const late = new CallSignal(longMs, source.signal);
		assert.deepEqual([call.signal.reason, late.signal.reason], ['stopping', 'stopping']);
		call.release();
		late.release();
	});

	it('should leave no listener on its source once released', () => {
		const source = new AbortController();
		const calls = Array.from({length: 3}, () => new CallSignal(longMs, source.signal));
		assert.equal(getEventListeners(source.signal, 'abort').length, 3);
		for (const call of calls) {
			call.release();
		}

		assert.equal(getEventListeners(source.signal, 'abort').length, 0);
	});
});
