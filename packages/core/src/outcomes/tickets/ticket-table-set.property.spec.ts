/**
 * Tests random interleavings of requests with tickets: a ticket never runs more than once, and after a not-run outcome
 * only a later attempt that counts its predecessors may run.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	actionTypes, slots, tickets, TicketSimulation,
} from './ticket-simulation-fixture.js';

const seed = 20_260_301;
const action = fc.record({type: fc.constantFrom(...actionTypes), slot: fc.nat(slots - 1), pick: fc.nat(11)});

function check(simulation: TicketSimulation): void {
	for (let ticket = 0; ticket < tickets; ticket += 1) {
		const runs = simulation.sentRuns.filter(run => run.ticket === ticket);
		assert.ok(runs.length <= 1, `ticket ${ticket} ran ${runs.length} times`);
		const reportedNotRun = simulation.callerAttempts.filter(each => each.ticket === ticket && each.reported?.type === 'not-run');
		for (const callerAttempt of reportedNotRun) {
			const later = ticket % 2 === 1 ? runs.filter(run => run.attempt > callerAttempt.attempt && run.sentAt! > callerAttempt.reportedAt!) : [];
			assert.equal(runs.length - later.length, 0, `ticket ${ticket} ran, but a caller got a not-run outcome`);
		}
	}
}

describe('ticket table set', () => {
	it(`should run each ticket at most once, and never one that was reported as not run (seed ${seed})`, context => {
		const counts = {
			ran: 0, notRun: 0, answered: 0, unknown: 0, runAfterNotRun: 0,
		};
		fc.assert(fc.property(fc.array(action, {minLength: 20, maxLength: 300, size: 'max'}), actions => {
			const simulation = new TicketSimulation();
			for (const each of actions) {
				simulation.apply(each);
			}

			check(simulation);
			counts.ran += simulation.sentRuns.length;
			counts.notRun += simulation.callerAttempts.filter(each => each.reported?.type === 'not-run').length;
			counts.answered += simulation.callerAttempts.filter(each => each.reported?.type === 'answered').length;
			counts.unknown += simulation.callerAttempts.filter(each => each.reported?.type === 'unknown').length;
			const reportedNotRun = new Set(simulation.callerAttempts.filter(each => each.reported?.type === 'not-run').map(each => each.ticket));
			counts.runAfterNotRun += simulation.sentRuns.filter(run => reportedNotRun.has(run.ticket)).length;
		}), {seed, numRuns: 3000});
		context.diagnostic(`seed ${seed}: ${JSON.stringify(counts)}`);
		for (const count of Object.values(counts)) {
			assert.ok(count > 20, 'the interleavings must reach every kind of outcome');
		}
	});
});
