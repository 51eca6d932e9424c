/** Bounds the wait for an outcome that another send of the request brings about. */
import type {Clock} from '@cairnbank/core';
import {unknown, type Outcome} from '@cairnbank/core/outcomes';

/** @returns the outcome, or unknown once the own deadline has passed */
export async function withinDeadline(outcome: Promise<Outcome>, deadlineAtMs: number, clock: Clock): Promise<Outcome> {
	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<Outcome>(resolve => {
		timer = setTimeout(() => {
			resolve(unknown('deadline-exceeded'));
		}, Math.max(0, deadlineAtMs - clock.monotonicMs()));
	});
	try {
		return await Promise.race([outcome, late]);
	} finally {
		clearTimeout(timer);
	}
}
