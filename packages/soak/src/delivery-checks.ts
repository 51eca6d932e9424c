/** Checks that callers get whole answers to what runs for them while an instance stops. */
import {groupRunsById, type Check} from './checks.js';
import type {
	CallRecord, History, RunRecord, StopRecord,
} from './history.js';
import {deadlineMs as usualDeadlineMs} from './soak-caller.js';

/** Time after the end of the grace period for which requests of a stopped instance are checked. */
const afterGraceMs = 1000;
/** An upstream that is at work in the last part of the grace period excuses requests that were sent in its first part. */
const lastWorkRatio = 5 / 6;
const firstSentRatio = 1 / 2;
/** Timers fire up to a millisecond early. */
const timerSlackMs = 1;
/** Time for which an unplanned disturbance excuses requests that follow it. */
const recoveryMs = 3000;

/** Returns whether the caller has left at the time that it had set itself. */
function hasLeftAsPlanned({end, sentAtMs, endedAtMs, leavesAfterMs}: CallRecord): boolean {
	return end.type === 'left' && leavesAfterMs !== undefined && endedAtMs - sentAtMs >= leavesAfterMs - timerSlackMs;
}

/** Returns how a request failed to get the whole answer of its upstream; undefined if it got it. */
function describeLoss({end}: CallRecord, runs: readonly RunRecord[]): string | undefined {
	switch (end.type) {
		case 'answered': {
			return runs.some(({upstream}) => end.signature === `signed-by-${upstream}`) ? undefined : `was told ${end.status} in place of the answer`;
		}

		case 'cut': {
			return 'lost its connection';
		}

		case 'left': {
			return 'got nothing until it left';
		}

		case 'refused': {
			return undefined;
		}
	}
}

/** Returns whether an unplanned disturbance reached the request or its instance. */
function isDisturbed({instance, sentAtMs, endedAtMs, end}: CallRecord, runs: readonly RunRecord[], {disturbances, cuts}: History): boolean {
	const overlaps = (fromMs: number, untilMs: number) => fromMs <= endedAtMs && untilMs + recoveryMs >= sentAtMs;
	return cuts.some(({instances, fromMs, untilMs}) => instances.includes(instance) && overlaps(fromMs, untilMs))
		|| disturbances.some(({kind, instance: disturbed, upstream: linked, fromMs, untilMs}) => {
			// A stall of the callers and upstreams makes answers late, but closes no connection.
			const concerns = (kind === 'stall' && end.type !== 'cut') || (kind === 'instance' && disturbed === instance) || (kind === 'link' && runs.some(({upstream}) => upstream === linked));
			return concerns && overlaps(fromMs, untilMs);
		});
}

/** Returns whether the request was sent in time, but its upstream was still at work as the grace period came to its end. */
function outlastsGracePeriod({sentAtMs}: CallRecord, runs: readonly RunRecord[], {signalledAtMs, graceMs}: StopRecord): boolean {
	const lastWorkAtMs = signalledAtMs + (lastWorkRatio * graceMs);
	const isAtWork = runs.some(({end}) => end === undefined || end.atMs >= lastWorkAtMs);
	return sentAtMs <= signalledAtMs + (firstSentRatio * graceMs) && isAtWork;
}

const stopsDeliverWholeAnswers: Check = {
	name: 'a request that runs gets the whole answer of its upstream, though its instance stops',
	findBreaches(history) {
		const {calls, crashes, runs, stops} = history;
		const runsById = groupRunsById([...runs, ...crashes.flatMap(crash => crash.runs)]);
		const lost = [...calls, ...crashes.flatMap(crash => [...crash.calls, ...crash.harmlessCalls])].flatMap(call => {
			const ofCall = runsById.get(call.id) ?? [];
			const loss = ofCall.length === 0 ? undefined : describeLoss(call, ofCall);
			const isLate = call.endedAtMs - call.sentAtMs >= (call.deadlineMs ?? usualDeadlineMs);
			const brokeOff = ofCall.some(({end}) => end?.type === 'breaks-off');
			return loss === undefined || isLate || brokeOff || hasLeftAsPlanned(call) || isDisturbed(call, ofCall, history) ? [] : [{call, loss, runs: ofCall}];
		});
		return stops.filter(({wasKilled}) => !wasKilled).flatMap(stop => lost
			.filter(({call: {instance, sentAtMs, endedAtMs}}) => instance === stop.instance
				&& endedAtMs >= stop.signalledAtMs && sentAtMs <= stop.signalledAtMs + stop.graceMs + afterGraceMs)
			.filter(({call, runs: ofCall}) => !outlastsGracePeriod(call, ofCall, stop))
			.map(({call: {id, instance, sentAtMs, endedAtMs}, loss, runs: ofCall}) => `${id}, sent ${Math.round(sentAtMs - stop.signalledAtMs)} ms after SIGTERM to ${instance}, `
				+ `${loss} ${Math.round(endedAtMs - stop.signalledAtMs)} ms after it; `
				+ ofCall.map(({upstream, end}) => `${upstream} ${end === undefined ? 'is at work' : `${end.type} at ${Math.round(end.atMs - stop.signalledAtMs)} ms`}`).join(', ')));
	},
};

export const deliveryChecks: readonly Check[] = [stopsDeliverWholeAnswers];
