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
const otherFingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: encoder.encode('2'),
});
const owner = 'owner-1' as IncarnationId;
const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};

function setUp(changes: Partial<TicketTableOptions> = {}) {
	const clock = new ManualClock();
	const options = {
		clock, lifetimeMs: 1000, outcomeRetentionMs: 2000, maximumEntries: 2, maximumAnswerBytes: 15, maximumVoided: 1, ...changes,
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
	it('should run the first attempt, join the second to it and return the stored answer to the third', () => {
		const {table} = setUp();
		const ticket = issue(table);
		assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'run'});
		assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'join'});
		table.recordOutcome(ticket, answered);
		assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'end', outcome: answered});
	});

	it('should reject another request with a used ticket', () => {
		const {table} = setUp();
		const ticket = issue(table);
		table.decide({ticket, fingerprint});
		assert.deepEqual(table.decide({ticket, fingerprint: otherFingerprint}), {type: 'end', outcome: notRun('key-reused')});
	});

	it('should reject forged and altered tickets and those of other owners', () => {
		const {table} = setUp();
		const ticket = issue(table);
		const forged = [
			{...ticket, sequence: 5}, {...ticket, expiresAtMs: 9_000_000}, {...ticket, owner: 'owner-2' as IncarnationId}, {...ticket, mac: 'x'},
		];
		for (const each of forged) {
			assert.deepEqual(table.decide({ticket: each, fingerprint}), {type: 'end', outcome: notRun('ticket-invalid')});
		}

		assert.equal(parseTicket('t1~owner-1~0'), undefined);
		assert.equal(parseTicket(formatTicket(ticket) + '~x'), undefined);
	});

	it('should never run a ticket that has expired or whose entry was removed', () => {
		const {table, clock} = setUp();
		const [used, unused] = [issue(table), issue(table)];
		table.decide({ticket: used, fingerprint});
		table.recordOutcome(used, answered);
		clock.advance(3000);
		assert.equal(table.entryCount, 1);
		for (const ticket of [used, unused]) {
			assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'end', outcome: unknown('ticket-expired')});
		}

		assert.equal(table.entryCount, 0);
	});

	it('should report an answer as no longer held after newer ones displaced it', () => {
		const {table} = setUp();
		const tickets = [issue(table), issue(table)];
		for (const ticket of tickets) {
			table.decide({ticket, fingerprint});
			table.recordOutcome(ticket, answered);
		}

		assert.equal(table.heldAnswerBytes, 10);
		assert.deepEqual(table.decide({ticket: tickets[0]!, fingerprint}), {type: 'end', outcome: unknown('answer-not-held')});
	});

	it('should reject new tickets at its limit and never run a rejected ticket', () => {
		const {table, clock} = setUp();
		const tickets = Array.from({length: 5}, () => issue(table));
		table.decide({ticket: tickets[0]!, fingerprint});
		table.decide({ticket: tickets[1]!, fingerprint});
		for (const ticket of tickets.slice(2, 4)) {
			assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'end', outcome: notRun('answers-held-full')});
		}

		table.recordOutcome(tickets[0]!, unknown('connection-lost'));
		table.recordOutcome(tickets[1]!, unknown('connection-lost'));
		clock.advance(500);
		for (const ticket of tickets.slice(2)) {
			assert.deepEqual(table.decide({ticket, fingerprint}), {type: 'end', outcome: notRun('ticket-void')});
		}
	});

	it('should reject new tickets while the maximum number is running', () => {
		const {table} = setUp({maximumEntries: 10, maximumRunning: 1});
		const [first, second, third] = [issue(table), issue(table), issue(table)];
		table.decide({ticket: first, fingerprint});
		assert.deepEqual(table.decide({ticket: second, fingerprint}), {type: 'end', outcome: notRun('answers-held-full')});
		table.recordOutcome(first, answered);
		assert.deepEqual(table.decide({ticket: third, fingerprint}), {type: 'run'});
	});

	it('should let an attempt run after a not-run outcome only if its count shows that it is later', () => {
		const {table} = setUp();
		const ticket = issue(table);
		table.decide({ticket, fingerprint, previousAttempts: 0});
		table.recordOutcome(ticket, notRun('shed-by-upstream'));
		const repeated = {type: 'end', outcome: notRun('shed-by-upstream')};
		assert.deepEqual(table.decide({ticket, fingerprint, previousAttempts: 0}), repeated);
		assert.deepEqual(table.decide({ticket, fingerprint}), repeated);
		assert.deepEqual(table.decide({ticket, fingerprint, previousAttempts: 1}), {type: 'run'});
	});

	it('should hand over its entries and start no runs afterwards', () => {
		const {table, clock, options} = setUp({maximumEntries: 10});
		const [ended, unused] = [issue(table), issue(table)];
		table.decide({ticket: ended, fingerprint});
		assert.throws(() => table.toState());
		table.seal();
		table.recordOutcome(ended, answered);
		assert.deepEqual(table.decide({ticket: unused, fingerprint}), {type: 'sealed'});
		clock.advance(300);
		const successorClock = new ManualClock();
		const successor = TicketTable.adopt({...options, clock: successorClock}, table.toState());
		assert.deepEqual(successor.decide({ticket: ended, fingerprint}), {type: 'end', outcome: answered});
		assert.deepEqual(successor.decide({ticket: unused, fingerprint}), {type: 'run'});
		successorClock.advance(700);
		assert.deepEqual(successor.decide({ticket: issue(successor), fingerprint}), {type: 'run'});
		const late = {...unused, sequence: 99};
		assert.deepEqual(successor.decide({ticket: late, fingerprint}), {type: 'end', outcome: notRun('ticket-invalid')});
	});
});
