import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maximumStarted} from '@cairnbank/core/connections';
import fc from 'fast-check';
import {CallersHarness, stages, type Stage} from './callers-task-fixture.js';

const seed = 20_261_204;
const maximumTurns = 2000;

/** Lets the event loop turn until a condition holds. */
async function turnUntil(description: string, condition: () => boolean): Promise<void> {
	for (let turn = 0; turn < maximumTurns; turn++) {
		if (condition()) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	assert.fail(`not met: ${description}`);
}

type ConnectionPlan = {
	readonly before: readonly Stage[];
	/** Requests that arrive between the signal and the end of the grace period. */
	readonly during: readonly Stage[];
	/** Requests that arrive once the grace period is over. */
	readonly after: readonly Stage[];
	/** A request without the end of its body follows those before the signal; nothing can follow it. */
	readonly endsInPart: boolean;
};

const finalStatuses: Readonly<Record<Stage, number>> = {
	account: 503, place: 503, upstream: 504, fault: 502, answers: 200,
};

/** Returns the number of requests before the signal that are answered at once. */
function countAnswered({before}: ConnectionPlan, isStarting: boolean): number {
	const firstHeld = before.findIndex(stage => stage !== 'answers');
	return isStarting ? 0 : (firstHeld === -1 ? before.length : firstHeld);
}

/** Returns the statuses that are true of each request of a connection. */
function expectedStatuses(plan: ConnectionPlan, isStarting: boolean): {readonly required: number[]; readonly allowed: number[]} {
	const {before, during, after, endsInPart} = plan;
	const started = countAnswered(plan, isStarting) + maximumStarted;
	const statuses = before.map((stage, index) => isStarting || index >= started ? 503 : finalStatuses[stage]);
	const required = [...statuses, ...(endsInPart ? [503] : during.map(() => 503))];
	return {required, allowed: [...required, ...(endsInPart ? [] : after.map(() => 503))]};
}

describe('CallersTask', () => {
	// Guards against whole requests that a stop leaves without an answer, in whatever state they are.
	it(`should answer every request truly and in order as the grace period ends, whatever its state (seed ${seed})`, async context => {
		const reached = new Map<string, number>();
		const someStages = (maxLength: number) => fc.array(fc.constantFrom(...stages), {maxLength, size: 'max'});
		const plan = fc.record({
			before: someStages(20), during: someStages(10), after: someStages(6), endsInPart: fc.boolean(),
		});
		await fc.assert(fc.asyncProperty(fc.array(plan, {minLength: 1, maxLength: 4}), fc.nat(5), async (plans, startDraw) => {
			const isStarting = startDraw === 0;
			const harness = await new CallersHarness().start();
			harness.isStarting = isStarting;
			const callers = plans.map(() => harness.connect());
			try {
				for (const [index, {before, endsInPart}] of plans.entries()) {
					callers[index]!.send(before);
					if (endsInPart) {
						callers[index]!.sendPart();
					}
				}

				await turnUntil('answers before the signal', () => callers.every(({statuses}, index) => statuses.length === countAnswered(plans[index]!, isStarting)));
				const answers = () => callers.reduce((sum, {statuses}) => sum + statuses.length, 0);
				const sent = plans.reduce((sum, {before, endsInPart}) => sum + before.length + (endsInPart ? 1 : 0), 0);
				await turnUntil('requests before the signal', () => harness.openRequests + answers() >= sent);
				harness.leave();
				const sentLater = plans.reduce((sum, {during, endsInPart}) => sum + (endsInPart ? 0 : during.length), sent);
				for (const [index, {during, endsInPart}] of plans.entries()) {
					callers[index]!.send(endsInPart ? [] : during);
				}

				await turnUntil('requests before the end', () => harness.openRequests + answers() >= sentLater);
				for (const [state, count] of harness.task.countOpenRequests()) {
					reached.set(state, (reached.get(state) ?? 0) + count);
				}

				harness.task.expire();
				for (const [index, {after, endsInPart}] of plans.entries()) {
					callers[index]!.send(endsInPart ? [] : after);
				}

				await harness.task.drain();
				await turnUntil('closed connections', () => callers.every(({isClosed}) => isClosed));
				for (const [index, {statuses}] of callers.entries()) {
					// Requests that come after the grace period may meet the end of their connection.
					const {required, allowed} = expectedStatuses(plans[index]!, isStarting);
					assert.deepEqual(statuses, allowed.slice(0, Math.max(required.length, statuses.length)));
				}
			} finally {
				for (const caller of callers) {
					caller.leave();
				}

				harness.task.stop();
			}
		}), {seed, numRuns: 100});
		context.diagnostic(`seed ${seed}: ${JSON.stringify(Object.fromEntries(reached))}`);
	});
});
