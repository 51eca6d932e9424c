import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLogger} from '../../logging/create-logger.js';
import {createMetrics} from '../../metrics/metrics.js';
import {UnreadableRecords} from './unreadable-records.js';

function createWorld() {
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

const bad = (key: string, fault: string) => ({
	key, fault, offset: 0, value: undefined,
});

describe('UnreadableRecords', () => {
	it('should log a record once while it stays, and again after it was readable', () => {
		const {lines, records} = createWorld();
		records.read([bad('a', 'no address')]);
		records.read([bad('a', 'no address')]);
		assert.equal(lines.length, 1);
		records.read([{key: 'a', offset: 1, value: {}}, bad('a', 'no address')]);
		assert.equal(lines.length, 2);
	});

	it('should count those that stay', async () => {
		const {metrics, records} = createWorld();
		records.read([bad('a', 'no address'), bad('b', 'no slots')]);
		records.read([{key: 'a', offset: 2, value: undefined}]);
		const {values} = await metrics.unreadableRecords.get();
		assert.deepEqual(values.map(({value}) => value), [1]);
	});

	it('should stay bounded however many keys are written', () => {
		const {lines, records} = createWorld();
		records.read(Array.from({length: 1000}, (_, index) => bad(`k${index}`, 'no address')));
		assert.equal(lines.length, 256);
	});
});
