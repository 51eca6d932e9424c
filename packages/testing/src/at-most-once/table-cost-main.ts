/** Measures what one remembered ticket costs: time of issue, first send, end and resend, and memory. Run with --expose-gc. */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {incarnationIdSchema, systemClock, fingerprintOf} from '@cairnbank/core';
import {
	claimRecordSchema, parseTicket, TicketTable, type Outcome,
} from '@cairnbank/core/outcomes';
import {v7 as uuid} from 'uuid';

const rounds = 5;
const entries = 100_000;
const answerBytes = 200;
const microsecondsPerMillisecond = 1000;

const body = new Uint8Array(100);
const request = {
	service: 'ledger', method: 'POST', path: '/deposits', tenant: 'school', body,
};

function newTable(): TicketTable {
	return TicketTable.create({
		clock: systemClock, lifetimeMs: 600_000, keepEndedMs: 600_000, maximumEntries: entries, maximumVoided: entries, maximumAnswerBytes: Number.MAX_SAFE_INTEGER,
	}, incarnationIdSchema.parse('0123456789abcdef'), randomBytes(32));
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function perEntryUs(work: () => void): number {
	const startMs = performance.now();
	work();
	return (performance.now() - startMs) * microsecondsPerMillisecond / entries;
}

function memory(): number {
	globalThis.gc?.();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

function measure(withAnswer: boolean): Record<string, number> {
	const outcome = (): Outcome => withAnswer
		? {type: 'answered', answer: {statusCode: 201, headers: ['content-type', 'application/json'], body: new Uint8Array(answerBytes)}}
		: {type: 'unknown', reason: 'connection-lost'};
	const table = newTable();
	const texts: string[] = [];
	const issueUs = perEntryUs(() => {
		for (let index = 0; index < entries; index += 1) {
			texts.push(table.issue().text);
		}
	});
	const before = memory();
	const send = (text: string) => table.begin({ticket: parseTicket(text)!, fingerprint: fingerprintOf(request)});
	const firstSendUs = perEntryUs(() => {
		for (const text of texts) {
			send(text);
			table.end(parseTicket(text)!, outcome());
		}
	});
	const bytes = (memory() - before) / entries;
	const resendUs = perEntryUs(() => {
		for (const text of texts) {
			send(text);
		}
	});
	return {
		issueUs, firstSendUs, resendUs, bytes, entries: table.entryCount,
	};
}

for (const withAnswer of [false, true]) {
	const runs = Array.from({length: rounds}, () => measure(withAnswer));
	const medians = Object.keys(runs[0]!).map(key => [key, Number(median(runs.map(run => run[key]!)).toFixed(2))]);
	console.log(withAnswer ? `answers of ${answerBytes} bytes` : 'no answers', Object.fromEntries(medians));
}

const claim = () => ({key: uuid(), fingerprint: fingerprintOf(request)});
for (const count of [1, 100]) {
	const record = claimRecordSchema.parse({
		type: 'claims', id: uuid(), owner: '0123456789abcdef', claims: Array.from({length: count}, claim),
	});
	console.log(`record of ${count} claims: ${JSON.stringify(record).length} bytes`);
}
