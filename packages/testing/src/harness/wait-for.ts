/** Polls a condition, so that tests need no fixed delays. */
import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 5;
const defaultTimeoutMs = 20_000;

/** Resolves when `condition` holds; throws an error with `description` if it does not hold within the timeout. */
export async function waitFor(description: string, condition: () => boolean | Promise<boolean>, timeoutMs: number = defaultTimeoutMs): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
		}

		await delay(pollIntervalMs);
	}
}
