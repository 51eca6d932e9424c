/** Keeps a peer's clock that runs ahead from prolonging a refusal. */
import type {Suspect} from './suspect.js';

/**
 * Takes times ahead of the own clock as now.
 * @param suspect What a peer told.
 * @param nowMs Own calendar time.
 * @param trialMs Longest time that a trial may take.
 */
export function clampFutureTimes(suspect: Suspect, nowMs: number, trialMs: number): Suspect {
	const {trial} = suspect;
	return {
		...suspect,
		clearedAtMs: Math.min(suspect.clearedAtMs, nowMs),
		crashes: suspect.crashes.map(crash => ({...crash, atMs: Math.min(crash.atMs, nowMs)})),
		...(trial === undefined ? {} : {trial: {...trial, untilMs: Math.min(trial.untilMs, nowMs + trialMs)}}),
	};
}
