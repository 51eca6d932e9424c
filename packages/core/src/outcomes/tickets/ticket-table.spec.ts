import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {IncarnationId} from '../../model/ids.js';
import {ManualClock} from '../../model/manual-clock.js';
import type {Outcome} from '../outcome.js';
import {notRun, unknown} from '../runs/outcomes.js';
import {fingerprintOf} from '../../model/request-fingerprint.js';
import {formatTicket, parseTicket, type Ticket} from './ticket.js';
import {TicketTable, type TicketTableOptions} from './ticket-table.js';

const encoder = new TextEncoder();
const fingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: encoder.encode('1'),
});
const other = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: encoder.encode('2'),
});
const owner = 'owner-1' as IncarnationId;
const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};

function setUp(changes: Partial<TicketTableOptions> = {}) {
	const clock = new ManualClock();
	const options = {
		clock, lifetimeMs: 1000, keepEndedMs: 2000, maximumEntries: 2, maximumAnswerBytes: 15, maximumVoided: 1, ...changes,
	};
	const table = TicketTable.create(options, owner, new Uint8Array(32).fill(7));
	return {clock, table, options};
}

function issue(table: TicketTable): Ticket {
	const ticket = parseTicket(table.issue().text);
	assert.ok(ticket);
	return ticket;
}

describe('ticket table', () => {
	it('should run the first send, join the second and repeat the answer to the third', () => {
		const {table} = setUp();
		const ticket = issue(table);
		assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'run'});
		assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'join'});
		table.end(ticket, answered);
		assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'end', outcome: answered});
	});

	it('should refuse another request under a used ticket', () => {
		const {table} = setUp();
		const ticket = issue(table);
		table.begin({ticket, fingerprint});
		assert.deepEqual(table.begin({ticket, fingerprint: other}), {type: 'end', outcome: notRun('key-reused')});
	});

	it('should refuse forged, altered and foreign tickets', () => {
		const {table} = setUp();
		const ticket = issue(table);
		const forged = [
			{...ticket, sequence: 5}, {...ticket, expiresAtMs: 9_000_000}, {...ticket, owner: 'owner-2' as IncarnationId}, {...ticket, mac: 'x'},
		];
		for (const each of forged) {
			assert.deepEqual(table.begin({ticket: each, fingerprint}), {type: 'end', outcome: notRun('ticket-invalid')});
		}

		assert.equal(parseTicket('t1~owner-1~0'), undefined);
		assert.equal(parseTicket(formatTicket(ticket) + '~x'), undefined);
	});

	it('should never run an expired or forgotten ticket', () => {
		const {table, clock} = setUp();
		const [used, unused] = [issue(table), issue(table)];
		table.begin({ticket: used, fingerprint});
		table.end(used, answered);
		clock.advance(3000);
		assert.equal(table.entryCount, 1);
		for (const ticket of [used, unused]) {
			assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'end', outcome: unknown('ticket-expired')});
		}

		assert.equal(table.entryCount, 0);
	});

	it('should say that an answer is no longer held once its bytes made room for newer ones', () => {
		const {table} = setUp();
		const tickets = [issue(table), issue(table)];
		for (const ticket of tickets) {
			table.begin({ticket, fingerprint});
			table.end(ticket, answered);
		}

		assert.equal(table.heldAnswerBytes, 10);
		assert.deepEqual(table.begin({ticket: tickets[0]!, fingerprint}), {type: 'end', outcome: unknown('answer-not-held')});
	});

	it('should refuse new tickets at its bound and never run a ticket that it refused', () => {
		const {table, clock} = setUp();
		const tickets = Array.from({length: 5}, () => issue(table));
		table.begin({ticket: tickets[0]!, fingerprint});
		table.begin({ticket: tickets[1]!, fingerprint});
		for (const ticket of tickets.slice(2, 4)) {
			assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'end', outcome: notRun('answers-held-full')});
		}

		table.end(tickets[0]!, unknown('connection-lost'));
		table.end(tickets[1]!, unknown('connection-lost'));
		clock.advance(500);
		for (const ticket of tickets.slice(2)) {
			assert.deepEqual(table.begin({ticket, fingerprint}), {type: 'end', outcome: notRun('ticket-void')});
		}
	});

	it('should refuse new tickets while as many run as may', () => {
		const {table} = setUp({maximumEntries: 10, maximumRunning: 1});
		const [first, second, third] = [issue(table), issue(table), issue(table)];
		table.begin({ticket: first, fingerprint});
		assert.deepEqual(table.begin({ticket: second, fingerprint}), {type: 'end', outcome: notRun('answers-held-full')});
		table.end(first, answered);
		assert.deepEqual(table.begin({ticket: third, fingerprint}), {type: 'run'});
	});

	it('should let a send run after a not-run end only if it counts itself as later', () => {
		const {table} = setUp();
		const ticket = issue(table);
		table.begin({ticket, fingerprint, previousAttempts: 0});
		table.end(ticket, notRun('shed-by-upstream'));
		const repeated = {type: 'end', outcome: notRun('shed-by-upstream')};
		assert.deepEqual(table.begin({ticket, fingerprint, previousAttempts: 0}), repeated);
		assert.deepEqual(table.begin({ticket, fingerprint}), repeated);
		assert.deepEqual(table.begin({ticket, fingerprint, previousAttempts: 1}), {type: 'run'});
	});

	it('should hand its entries over and start nothing afterwards', () => {
		const {table, clock, options} = setUp({maximumEntries: 10});
		const [ended, unused] = [issue(table), issue(table)];
		table.begin({ticket: ended, fingerprint});
		assert.throws(() => table.toState());
		table.seal();
		table.end(ended, answered);
		assert.deepEqual(table.begin({ticket: unused, fingerprint}), {type: 'sealed'});
		clock.advance(300);
		const successorClock = new ManualClock();
		const successor = TicketTable.adopt({...options, clock: successorClock}, table.toState());
		assert.deepEqual(successor.begin({ticket: ended, fingerprint}), {type: 'end', outcome: answered});
		assert.deepEqual(successor.begin({ticket: unused, fingerprint}), {type: 'run'});
		successorClock.advance(700);
		assert.deepEqual(successor.begin({ticket: issue(successor), fingerprint}), {type: 'run'});
		const late = {...unused, sequence: 99};
		assert.deepEqual(successor.begin({ticket: late, fingerprint}), {type: 'end', outcome: notRun('ticket-invalid')});
	});
});
