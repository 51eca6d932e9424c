import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceId} from '../model/ids.js';
import {TypicalDurations} from './typical-durations.js';

const ledger = 'ledger' as ServiceId;
const portal = 'portal' as ServiceId;

describe('TypicalDurations', () => {
	it('should follow the ratios of probed upstreams, separately for each service', () => {
		const typical = new TypicalDurations();
		const before = typical.ratioOf(portal);
		for (let count = 0; count < 100; count++) {
			typical.record(ledger, 3);
		}

		assert.ok(Math.abs(typical.ratioOf(ledger) - 3) < 0.01);
		assert.equal(typical.ratioOf(portal), before);
	});

	it('should change little with one upstream', () => {
		const typical = new TypicalDurations();
		const before = typical.ratioOf(ledger);
		typical.record(ledger, before + 10);
		assert.ok(typical.ratioOf(ledger) < before + 1.5);
	});
});
