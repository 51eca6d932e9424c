/** Prevents a peer whose clock runs ahead from prolonging the refusal of a request. */
import type {Suspect} from './suspect.js';

/**
 * Replaces times in the future by the current time; a trial may end up to `maximumTrialMs` later.
 * @param suspect The suspect as received from a peer.
 * @param nowMs Current calendar time of this instance.
 * @param maximumTrialMs Maximum duration of a trial.
 */
export function clampFutureTimes(suspect: Suspect, nowMs: number, maximumTrialMs: number): Suspect {
	const {trial} = suspect;
	return {
		...suspect,
		clearedAtMs: Math.min(suspect.clearedAtMs, nowMs),
		crashes: suspect.crashes.map(crash => ({...crash, atMs: Math.min(crash.atMs, nowMs)})),
		...(trial === undefined ? {} : {trial: {...trial, untilMs: Math.min(trial.untilMs, nowMs + maximumTrialMs)}}),
	};
}
