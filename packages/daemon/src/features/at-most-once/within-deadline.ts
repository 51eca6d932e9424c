/** Limits how long a call waits for an outcome that another attempt of the same request produces. */
import type {Clock} from '@cairnbank/core';
import {unknown, type Outcome} from '@cairnbank/core/outcomes';

/** @returns the outcome, or `unknown` if the deadline passes first */
export async function withinDeadline(outcome: Promise<Outcome>, deadlineAtMs: number, clock: Clock): Promise<Outcome> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<Outcome>(resolve => {
		timer = setTimeout(() => {
			resolve(unknown('deadline-exceeded'));
		}, Math.max(0, deadlineAtMs - clock.monotonicMs()));
	});
	try {
		return await Promise.race([outcome, timeout]);
	} finally {
		clearTimeout(timer);
	}
}
