import assert from 'node:assert/strict';
import {getEventListeners, once} from 'node:events';
import {describe, it} from 'node:test';
import {CallSignal} from './call-signal.js';

const longMs = 60_000;

describe('signal of one call', () => {
	it('should abort once its time is over', async () => {
		const call = new CallSignal(1);
		await once(call.signal, 'abort');
		assert.equal((call.signal.reason as Error).name, 'TimeoutError');
	});

	it('should abort with its source, or at once if that is aborted already', () => {
		const source = new AbortController();
		const call = new CallSignal(longMs, source.signal);
		source.abort('stopping');
		const late = new CallSignal(longMs, source.signal);
		assert.deepEqual([call.signal.reason, late.signal.reason], ['stopping', 'stopping']);
		call.release();
		late.release();
	});

	it('should leave nothing at its source once released', () => {
		const source = new AbortController();
		const calls = Array.from({length: 3}, () => new CallSignal(longMs, source.signal));
		assert.equal(getEventListeners(source.signal, 'abort').length, 3);
		for (const call of calls) {
			call.release();
		}

		assert.equal(getEventListeners(source.signal, 'abort').length, 0);
	});
});
