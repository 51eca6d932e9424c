import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {matchAnswer, type AnswerMatch} from './match-answer.js';

const requestIdHeader = 'x-request-id';
const used = {requestIdHeader, wasUsed: true};
const fresh = {requestIdHeader, wasUsed: false};
const request = {requestId: 'own'};
const healthCheck = {requestId: undefined};

function match(id: string | undefined, options: Parameters<typeof matchAnswer>[1]): AnswerMatch {
	return matchAnswer({headers: id === undefined ? [] : ['X-Request-Id', id]}, options);
}

describe('matchAnswer', () => {
	it('should take an answer for that to the waiting request only if it names it', () => {
		assert.equal(match('own', {...used, request}), 'own');
		assert.equal(match('earlier', {...used, request}), 'another');
	});

	it('should pass over an answer while no request waits', () => {
		assert.equal(match('own', {...used, request: undefined}), 'another');
	});

	it('should believe an answer without an id on a connection that was never used before', () => {
		assert.equal(match(undefined, {...fresh, request}), 'own');
		assert.equal(match(undefined, {...used, request}), 'unproven');
	});

	it('should believe an answer without an id to a health check, which has none, and no other', () => {
		assert.equal(match(undefined, {...used, request: healthCheck}), 'own');
		assert.equal(match('earlier', {...used, request: healthCheck}), 'another');
	});
});
