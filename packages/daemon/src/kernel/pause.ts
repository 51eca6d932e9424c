/** A delay that ends early when the task stops. */
import {setTimeout as delay} from 'node:timers/promises';

/** Resolves after `durationMs`, or as soon as `signal` is aborted. */
export async function pause(durationMs: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(durationMs, undefined, {signal});
	} catch {
		// The delay was aborted; the caller checks the signal.
	}
}
