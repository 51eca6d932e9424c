import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	authorSchema, changeSchema, recordIdSchema, type Change,
} from '@cairnbank/core';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {type AppendAcknowledgement, type LogClient, type LogReadOptions} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';
import {type LogPage} from '../log/log-page.js';
import {publishChange} from './publish-change.js';

type AppendFault = 'lost-acknowledgement' | 'lost-append' | 'unreachable';

const lost: LogError = {type: 'unacknowledged', message: 'no answer'};
const unreachable: LogError = {type: 'unreachable', message: 'refused'};

/** An in-memory log with injected faults, one for each append. */
class FaultyLog implements LogClient {
	readonly values: unknown[] = [];
	readable = true;
	/** Value that another author appends just before the next append. */
	concurrentValue: unknown;
	readonly #faults: AppendFault[];

	constructor(faults: AppendFault[] = []) {
		this.#faults = faults;
	}

	append(_stream: string, value: unknown): ResultAsync<AppendAcknowledgement, LogError> {
		if (this.concurrentValue !== undefined) {
			this.values.push(this.concurrentValue);
			this.concurrentValue = undefined;
		}

		const fault = this.#faults.shift();
		if (fault === undefined || fault === 'lost-acknowledgement') {
			this.values.push(structuredClone(value));
		}

		if (fault === undefined) {
			return okAsync({offset: this.values.length});
		}

		return errAsync(fault === 'unreachable' ? unreachable : lost);
	}

	read(_stream: string, {fromOffset, limit}: LogReadOptions): ResultAsync<LogPage, LogError> {
		if (!this.readable) {
			return errAsync(unreachable);
		}

		const records = this.values
			.map((value, index) => ({offset: index + 1, appendedAt: '2026-01-01T00:00:00Z', value}))
			.slice(fromOffset - 1, fromOffset - 1 + limit);
		return okAsync({records, earliestOffset: 1, endOffset: this.values.length});
	}
}

function rules(priority: number): Change {
	return changeSchema.parse({kind: 'rules', classes: [{id: 'payout', match: {}, priority}]});
}

async function publish(log: LogClient, id: string, change: Change, baseOffset?: number) {
	return publishChange(log, {
		change, author: authorSchema.parse(id), id: recordIdSchema.parse(id), baseOffset,
	});
}

describe('publishing a change', () => {
	it('should be accepted at its offset', async () => {
		assert.deepEqual(await publish(new FaultyLog(), 'a', rules(1)), {type: 'accepted', offset: 1});
	});

	it('should find its record if the acknowledgement was lost, and append it only once', async () => {
		const log = new FaultyLog(['lost-acknowledgement']);
		assert.deepEqual(await publish(log, 'a', rules(1)), {type: 'accepted', offset: 1});
		assert.equal(log.values.length, 1);
	});

	it('should append again with the same id if the append itself was lost', async () => {
		const log = new FaultyLog(['lost-append', 'unreachable']);
		assert.deepEqual(await publish(log, 'a', rules(1)), {type: 'accepted', offset: 1});
	});

	it('should be unknown if an append may have taken effect and its record is not found', async () => {
		const verdict = await publish(new FaultyLog(['lost-append', 'lost-append', 'unreachable']), 'a', rules(1));
		assert.deepEqual(verdict, {type: 'unknown', error: lost});
	});

	it('should be unknown if the log becomes unreachable after the append', async () => {
		const log = new FaultyLog();
		const {append} = log;
		log.append = (stream, value) => {
			log.readable = false;
			return append.call(log, stream, value);
		};

		assert.deepEqual(await publish(log, 'a', rules(1)), {type: 'unknown', error: unreachable});
	});

	it('should report the other change if two are published concurrently', async () => {
		const log = new FaultyLog();
		log.concurrentValue = {
			type: 'change', id: 'b', baseOffset: 0, author: 'other clerk', change: rules(2),
		};
		const verdict = await publish(log, 'a', rules(1));
		assert.deepEqual(verdict, {type: 'conflict', key: 'rules', with: {offset: 1, id: 'b', author: 'other clerk'}});
	});

	it('should conflict before any append if the author saw an older configuration', async () => {
		const log = new FaultyLog();
		await publish(log, 'a', rules(1));
		const verdict = await publish(log, 'b', rules(2), 0);
		assert.equal(verdict.type, 'conflict');
		assert.equal(log.values.length, 1);
	});

	it('should change nothing and append nothing if the same change is published again', async () => {
		const log = new FaultyLog();
		await publish(log, 'a', rules(1));
		assert.deepEqual(await publish(log, 'b', rules(1)), {type: 'unchanged', offset: 1});
		assert.equal(log.values.length, 1);
	});

	it('should return the first verdict again for the same id', async () => {
		const log = new FaultyLog();
		await publish(log, 'a', rules(1));
		await publish(log, 'b', rules(2));
		assert.deepEqual(await publish(log, 'a', rules(1)), {type: 'accepted', offset: 1});
		assert.equal(log.values.length, 2);
	});

	it('should not be published and have no effect while the log is unreachable', async () => {
		const log = new FaultyLog();
		log.readable = false;
		assert.deepEqual(await publish(log, 'a', rules(1)), {type: 'not-published', error: unreachable});
		assert.equal(log.values.length, 0);
	});

	it('should not evaluate a change if needed records have expired', async () => {
		const log = new FaultyLog();
		log.read = () => okAsync({records: [], earliestOffset: 8, endOffset: 7});
		const verdict = await publish(log, 'a', rules(1));
		assert.equal(verdict.type, 'missing-records');
		assert.equal(log.values.length, 0);
	});
});
