import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLogger} from '../../logging/create-logger.js';
import {createMetrics} from '../../metrics/metrics.js';
import {UnreadableRecords} from './unreadable-records.js';

function createRecords() {
	const lines: string[] = [];
	const metrics = createMetrics();
	const logger = createLogger({
		level: 'info',
		commonFields: {},
		write(line) {
			lines.push(line);
		},
	});
	return {lines, metrics, records: new UnreadableRecords({topic: 'upstreams', logger, metrics})};
}

const unreadable = (key: string, fault: string) => ({
	key, fault, offset: 0, value: undefined,
});

describe('UnreadableRecords', () => {
	it('should log an unreadable record once while it remains, and again after a readable one', () => {
		const {lines, records} = createRecords();
		records.update([unreadable('a', 'no address')]);
		records.update([unreadable('a', 'no address')]);
		assert.equal(lines.length, 1);
		records.update([{key: 'a', offset: 1, value: {}}, unreadable('a', 'no address')]);
		assert.equal(lines.length, 2);
	});

	it('should count the unreadable records that remain', async () => {
		const {metrics, records} = createRecords();
		records.update([unreadable('a', 'no address'), unreadable('b', 'no slots')]);
		records.update([{key: 'a', offset: 2, value: undefined}]);
		const {values} = await metrics.unreadableRecords.get();
		assert.deepEqual(values.map(({value}) => value), [1]);
	});

	it('should track a bounded number of keys, however many are written', () => {
		const {lines, records} = createRecords();
		records.update(Array.from({length: 1000}, (_, index) => unreadable(`k${index}`, 'no address')));
		assert.equal(lines.length, 256);
	});
});
