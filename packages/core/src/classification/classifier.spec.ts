import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {rulesSchema} from '../model/rules.js';
import {Classifier} from './classifier.js';

const rules = rulesSchema.parse({
	kind: 'rules',
	classes: [
		{id: 'payout-check', match: {service: 'guardian-portal', methods: ['GET'], pathPrefix: '/payouts/'}, priority: 0},
		{id: 'deposit', match: {service: 'ledger', methods: ['PUT']}, idempotent: false},
		{id: 'search', match: {methods: ['POST'], pathPrefix: '/search'}, idempotent: true},
	],
});

describe('classifier', () => {
	const classifier = new Classifier(rules);

	it('should take the first class that matches service, method and path', () => {
		assert.equal(classifier.classify('guardian-portal', 'GET', '/payouts/7').requestClass.id, 'payout-check');
		assert.equal(classifier.classify('guardian-portal', 'GET', '/balances/7').requestClass.id, 'default');
		assert.equal(classifier.classify('ledger', 'GET', '/payouts/7').requestClass.id, 'default');
	});

	describe('idempotence', () => {
		it('should follow the rule where it specifies idempotence', () => {
			assert.equal(classifier.classify('ledger', 'POST', '/search?q=1').idempotent, true);
			assert.equal(classifier.classify('ledger', 'PUT', '/deposits/1').idempotent, false);
		});

		it('should follow the method where no rule specifies it, and treat doubtful methods as non-idempotent', () => {
			assert.equal(classifier.classify('ledger', 'GET', '/x').idempotent, true);
			assert.equal(classifier.classify('other', 'DELETE', '/x').idempotent, false);
			assert.equal(classifier.classify('other', 'BREW', '/x').idempotent, false);
		});
	});
});
