/** Waiting on a condition in place of sleeping. */
import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 5;
const defaultLimitMs = 20_000;

/** Resolves once `condition` holds; throws with `what` when it does not within a generous limit. */
export async function waitFor(what: string, condition: () => boolean | Promise<boolean>, limitMs: number = defaultLimitMs): Promise<void> {
	const endMs = performance.now() + limitMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`waited ${limitMs} ms in vain: ${what}`);
		}

		await delay(pollIntervalMs);
	}
}
