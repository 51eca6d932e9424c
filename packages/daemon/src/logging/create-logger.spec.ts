import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogLevel} from '../settings/logging-settings.js';
import {createLogger} from './create-logger.js';

function loggerAt(level: LogLevel) {
	const lines: string[] = [];
	const logger = createLogger({level, instance: 'entry-01', write: line => lines.push(line)});
	return {lines, logger};
}

describe('logger', () => {
	it('should write one JSON object per line', () => {
		const {lines, logger} = loggerAt('info');
		logger.forFeature('admin').info('listening', {port: 7300});
		const {time, ...fields} = JSON.parse(lines[0]!) as Record<string, unknown>;
		assert.equal(typeof time, 'string');
		assert.deepEqual(fields, {
			level: 'info', event: 'listening', instance: 'entry-01', feature: 'admin', port: 7300,
		});
	});

	it('should omit lines below its level', () => {
		const {lines, logger} = loggerAt('warn');
		logger.info('below the level');
		logger.debug('below the level');
		logger.error('kept');
		assert.equal(lines.length, 1);
	});
});
