/** Random interleavings around tickets: runs ≤ 1, and not-run ⇒ no run by any send that the caller had made. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	actionTypes, slots, tickets, TicketWorld,
} from './ticket-world-fixture.js';

const seed = 20_260_301;
const action = fc.record({type: fc.constantFrom(...actionTypes), slot: fc.nat(slots - 1), pick: fc.nat(11)});

function check(world: TicketWorld): void {
	for (let ticket = 0; ticket < tickets; ticket += 1) {
		const runs = world.sentRuns.filter(run => run.ticket === ticket);
		assert.ok(runs.length <= 1, `ticket ${ticket} ran ${runs.length} times`);
		const toldNotRun = world.sends.filter(send => send.ticket === ticket && send.told?.type === 'not-run');
		for (const send of toldNotRun) {
			const later = ticket % 2 === 1 ? runs.filter(run => run.attempt > send.attempt && run.sentAt! > send.toldAt!) : [];
			assert.equal(runs.length - later.length, 0, `ticket ${ticket} ran and was told not run`);
		}
	}
}

describe('ticket office', () => {
	it(`should run each ticket at most once, and never one that was told not run (seed ${seed})`, context => {
		const reached = {
			ran: 0, notRun: 0, answered: 0, unknown: 0, runAfterNotRun: 0,
		};
		fc.assert(fc.property(fc.array(action, {minLength: 20, maxLength: 300, size: 'max'}), actions => {
			const world = new TicketWorld();
			for (const each of actions) {
				world.apply(each);
			}

			check(world);
			reached.ran += world.sentRuns.length;
			reached.notRun += world.sends.filter(send => send.told?.type === 'not-run').length;
			reached.answered += world.sends.filter(send => send.told?.type === 'answered').length;
			reached.unknown += world.sends.filter(send => send.told?.type === 'unknown').length;
			const toldNotRun = new Set(world.sends.filter(send => send.told?.type === 'not-run').map(send => send.ticket));
			reached.runAfterNotRun += world.sentRuns.filter(run => toldNotRun.has(run.ticket)).length;
		}), {seed, numRuns: 3000});
		context.diagnostic(`seed ${seed}: ${JSON.stringify(reached)}`);
		for (const count of Object.values(reached)) {
			assert.ok(count > 20, 'the interleavings must reach every kind of end');
		}
	});
});
