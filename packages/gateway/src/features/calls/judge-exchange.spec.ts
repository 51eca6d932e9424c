import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {err, ok} from 'neverthrow';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import {judgeExchange} from './judge-exchange.js';

function judge(status: number, ...headers: string[]): string {
	const verdict = judgeExchange(ok({status, headers, body: Buffer.alloc(0)}), plainDialect);
	return 'reason' in verdict ? `${verdict.type}:${verdict.reason}` : verdict.type;
}

describe('judgeExchange', () => {
	it('should accept signed answers as the upstream\'s own', () => {
		assert.equal(judge(200, 'Signature', 's'), 'success');
		assert.equal(judge(404, 'Signature', 's'), 'success');
		assert.equal(judge(500, 'Signature', 's'), 'upstream-failure');
		assert.equal(judge(504, 'Signature', 's'), 'upstream-failure');
	});

	it('should not accept a success without a signature or with a content encoding that was not requested', () => {
		assert.equal(judge(200), 'unknown:unsigned');
		assert.equal(judge(200, 'Signature', 's', 'Content-Encoding', 'gzip'), 'unknown:unsigned');
	});

	it('should classify an answer as not run only with a proof', () => {
		assert.equal(judge(503, 'Not-Run', '1'), 'not-run:refused-by-upstreams');
		assert.equal(judge(421), 'not-run:wrong-upstream');
		assert.equal(judge(503, 'Signature', 's'), 'unknown:unproven-refusal');
		assert.equal(judge(429, 'Signature', 's'), 'unknown:unproven-refusal');
		assert.equal(judge(503), 'unknown:unsigned');
	});

	it('should classify a failure as not run only if nothing was sent', () => {
		const judged = (failure: ExchangeFailure) => judgeExchange(err(failure), plainDialect).type;
		assert.equal(judged({type: 'not-connected', message: '', isTimeout: false}), 'not-run');
		assert.equal(judged({type: 'broken', message: ''}), 'unknown');
		assert.equal(judged({type: 'malformed', message: ''}), 'unknown');
		assert.equal(judged({type: 'timed-out'}), 'unknown');
		assert.equal(judged({type: 'cancelled'}), 'cancelled');
	});
});
