/** Checks of what callers observe of an instance that stops. */
import type {Check} from './checks.js';
import type {CallRecord, Lag} from './history.js';
import {deadlineMs as usualDeadlineMs} from './soak-caller.js';

/** Time in which the connection of a whole request may end without an answer, as the two ends may close it at the same time. */
const closeSlackMs = 200;

/** Returns for how long the process of the soak did not run within a period. */
function sumLags(lags: readonly Lag[], startMs: number, endMs: number): number {
	return lags.reduce((sumMs, {fromMs, untilMs}) => sumMs + Math.max(0, Math.min(endMs, untilMs) - Math.max(startMs, fromMs)), 0);
}

const wholeRequestsAreAnswered: Check = {
	name: 'a request that was sent whole to a stopping instance is answered or refused, or its connection ends within 0.2 s',
	findBreaches({
		calls, crashes, stops, disturbances, lags,
	}) {
		const isDisturbed = ({instance, sentAtMs, endedAtMs}: CallRecord) => disturbances.some(({kind, instance: disturbed, fromMs, untilMs}) =>
			kind === 'instance' && disturbed === instance && fromMs <= endedAtMs && untilMs >= sentAtMs);
		const unanswered = [...calls, ...crashes.flatMap(crash => [...crash.calls, ...crash.harmlessCalls])].flatMap(call => {
			const {
				sent, sentAtMs, endedAtMs, end, deadlineMs = usualDeadlineMs,
			} = call;
			if (sent === undefined || end.type !== 'cut' || endedAtMs - sentAtMs >= deadlineMs || isDisturbed(call)) {
				return [];
			}

			const openMs = endedAtMs - sent.lastByteAtMs - sumLags(lags, sent.lastByteAtMs, endedAtMs);
			return openMs > closeSlackMs ? [{...call, sent, openMs}] : [];
		});
		return stops.filter(({wasKilled}) => !wasKilled).flatMap(({instance, signalledAtMs, endedAtMs: stoppedAtMs}) => unanswered
			.filter(call => call.instance === instance && call.endedAtMs >= signalledAtMs && call.sent.lastByteAtMs <= stoppedAtMs)
			.map(({id, openMs, sent: {connection, lastByteAtMs}, endedAtMs}) => `${id} was sent whole on ${connection} ${Math.round(lastByteAtMs - signalledAtMs)} ms after SIGTERM to ${instance}, `
				+ `whose connection ended ${Math.round(endedAtMs - signalledAtMs)} ms after it with no answer, open for ${Math.round(openMs)} ms`));
	},
};

export const stopChecks: readonly Check[] = [wholeRequestsAreAnswered];
