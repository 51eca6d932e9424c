import assert from 'node:assert/strict';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {Agent} from 'undici';
import {err, ok} from 'neverthrow';
import {HttpLogClient} from '@cairnbank/protocol';
import {LogStandIn} from './log-stand-in.js';

describe('log stand-in', () => {
	const log = new LogStandIn();
	let client: HttpLogClient;
	let stream: string;
	let streams = 0;

	const append = async (value: unknown) => {
		const appended = await client.append(stream, value);
		return appended.map(({offset}) => offset).mapErr(error => error.type);
	};

	const page = async (waitMs = 0) => {
		const read = await client.read(stream, {fromOffset: 1, limit: 10, waitMs});
		return read._unsafeUnwrap();
	};

	before(async () => {
		await log.start();
		client = new HttpLogClient({url: log.url, timeoutMs: 5000});
	});
	after(async () => log.stop());
	beforeEach(() => {
		streams += 1;
		stream = `stream-${streams}`;
	});

	it('should number records from 1 and read them back', async () => {
		assert.deepEqual(await append({n: 1}), ok(1));
		assert.deepEqual(await append({n: 2}), ok(2));
		const {records, endOffset} = await page();
		assert.deepEqual(records.map(({offset, value}) => ({offset, value})), [{offset: 1, value: {n: 1}}, {offset: 2, value: {n: 2}}]);
		assert.equal(endOffset, 2);
	});

	it('should hold a read open until a record is appended', async () => {
		const reading = page(4000);
		await append('late');
		const {records} = await reading;
		assert.equal(records.length, 1);
	});

	it('should drop records that retention expires', async () => {
		await append('old');
		await append('new');
		log.expire(stream, 2);
		const {earliestOffset, records, endOffset} = await page();
		assert.deepEqual([earliestOffset, records.length, endOffset], [2, 1, 2]);
	});

	it('should store an append whose acknowledgement is lost', async () => {
		await log.setFaults({loseAcknowledgements: 1});
		assert.deepEqual(await append('taken'), err('unacknowledged'));
		const {endOffset} = await page();
		assert.equal(endOffset, 1);
	});

	it('should refuse appends beyond the rate limit', async () => {
		await log.setFaults({appendsPerSecond: 0});
		assert.deepEqual(await append('refused'), err('refused'));
		await log.setFaults({appendsPerSecond: undefined});
		const {endOffset} = await page();
		assert.equal(endOffset, 0);
	});

	it('should refuse connections while down and reopen on the same port', async () => {
		await log.setFaults({down: 'refuse'});
		// Uses a new agent: a pooled connection may still look usable, and a request on it fails with `unacknowledged`; only a new connection is refused.
		client = new HttpLogClient({url: log.url, dispatcher: new Agent()});
		assert.deepEqual(await append('refused'), err('unreachable'));
		await log.setFaults({down: 'no'});
		assert.deepEqual(await append('taken'), ok(1));
	});
});
