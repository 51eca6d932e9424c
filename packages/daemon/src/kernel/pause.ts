/** Waiting that ends early when the task stops. */
import {setTimeout as delay} from 'node:timers/promises';

/** Resolves after `durationMs`, or at once when `signal` aborts. */
export async function pause(durationMs: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(durationMs, undefined, {signal});
	} catch {
		// Aborted: the caller looks at the signal.
	}
}
