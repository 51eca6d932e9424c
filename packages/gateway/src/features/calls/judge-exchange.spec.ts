import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {err, ok} from 'neverthrow';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import {classifyExchange} from './judge-exchange.js';

function classify(status: number, ...headers: string[]): string {
	const verdict = classifyExchange(ok(answerOf(status, headers)), plainDialect);
	return 'reason' in verdict ? `${verdict.type}:${verdict.reason}` : verdict.type;
}

describe('classifyExchange', () => {
	it('should accept signed answers as the upstream\'s own', () => {
		assert.equal(classify(200, 'Signature', 's'), 'success');
		assert.equal(classify(404, 'Signature', 's'), 'success');
		assert.equal(classify(500, 'Signature', 's'), 'upstream-failure');
		assert.equal(classify(504, 'Signature', 's'), 'upstream-failure');
	});

	it('should not accept a success without a signature or with a content encoding that was not requested', () => {
		assert.equal(classify(200), 'unknown:unsigned');
		assert.equal(classify(200, 'Signature', 's', 'Content-Encoding', 'gzip'), 'unknown:unsigned');
	});

	it('should classify an answer as not run only with a proof', () => {
		assert.equal(classify(503, 'Not-Run', '1'), 'not-run:refused-by-upstreams');
		assert.equal(classify(421), 'not-run:wrong-upstream');
		assert.equal(classify(503, 'Signature', 's'), 'unknown:unproven-refusal');
		assert.equal(classify(429, 'Signature', 's'), 'unknown:unproven-refusal');
		assert.equal(classify(503), 'unknown:unsigned');
	});

	it('should classify a failure as not run only if nothing was sent', () => {
		const classified = (failure: ExchangeFailure) => classifyExchange(err(failure), plainDialect).type;
		assert.equal(classified({type: 'not-connected', message: '', isTimeout: false}), 'not-run');
		assert.equal(classified({type: 'broken', message: ''}), 'unknown');
		assert.equal(classified({type: 'malformed', message: ''}), 'unknown');
		assert.equal(classified({type: 'answer-outgrown'}), 'unknown');
		assert.equal(classified({type: 'timed-out'}), 'unknown');
		assert.equal(classified({type: 'cancelled'}), 'cancelled');
	});
});
