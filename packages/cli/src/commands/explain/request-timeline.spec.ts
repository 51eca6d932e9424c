import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseLogs, buildRequestTimeline} from './request-timeline.js';

function line(second: number, instance: string, event: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		time: `2026-01-01T00:00:0${second}.000Z`, level: 'info', event, instance, ...fields,
	});
}

const logs = [
	line(1, 'entry-1', 'configuration in force', {version: 3}),
	line(2, 'entry-1', 'configuration in force', {version: 4}),
	line(2, 'entry-2', 'configuration in force', {version: 3}),
	line(3, 'entry-1', 'upstream joined', {upstream: 'u7'}),
	line(3, 'entry-1', 'upstream joined', {upstream: 'u8'}),
	line(5, 'entry-1', 'request', {id: 'r1', outcome: 'unknown', decisions: 'first:u7:expected=20ms unknown(broken):4ms'}),
	line(6, 'entry-1', 'configuration in force', {version: 5}),
	'not a line',
	'{"time":1}',
].join('\n');

describe('request timeline', () => {
	it('should contain the request\'s lines and the state of its instance at that time, not later state', () => {
		const timeline = buildRequestTimeline('r1', parseLogs([logs]).lines);
		assert.deepEqual(timeline?.lines.map(({id}) => id), ['r1']);
		assert.deepEqual(timeline?.instanceState.map(({event, version, upstream}) => [event, version ?? upstream]), [
			['configuration in force', 4], ['upstream joined', 'u7'],
		]);
	});

	it('should be ordered by time across several logs', () => {
		const later = line(7, 'entry-2', 'request', {id: 'r1', outcome: 'answered', decisions: ''});
		const timeline = buildRequestTimeline('r1', parseLogs([later, logs]).lines);
		assert.deepEqual(timeline?.lines.map(({instance}) => instance), ['entry-1', 'entry-2']);
	});

	it('should be undefined for an id that no line has', () => {
		assert.equal(buildRequestTimeline('r2', parseLogs([logs]).lines), undefined);
	});

	it('should count lines that are not log lines', () => {
		assert.equal(parseLogs([logs]).unreadable, 2);
	});
});
