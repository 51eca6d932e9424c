import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readLoadReportHeader} from './load-report-header.js';

describe('load report header', () => {
	it('should read the requests in flight and the utilization', () => {
		const text = 'JSON {"application_utilization":0.75,"named_metrics":{"in_flight":3}}';
		assert.deepEqual(readLoadReportHeader(text, 4), {inFlight: 3, utilizationRatio: 0.75});
	});

	it('should derive the requests in flight if only the utilization is given', () => {
		assert.deepEqual(readLoadReportHeader('JSON {"application_utilization":0.5}', 4), {inFlight: 2, utilizationRatio: 0.5});
	});

	for (const text of [undefined, '', 'JSON', 'JSON {', 'JSON {}', 'JSON null', 'JSON {"application_utilization":-1}', 'TEXT cpu=1']) {
		it(`should return undefined for ${text}`, () => {
			assert.equal(readLoadReportHeader(text, 4), undefined);
		});
	}
});
