/** Members that have contradicted that they are lost. */
import type {Clock} from '../model/clock.js';

/**
 * A member that has contradicted that it is lost is not held for lost again by the same instance within this time: the link
 * between the two may be cut alone, and each doubt is told to the whole fleet, 207 messages in 8 s at 40 instances. Others
 * find it if it dies meanwhile.
 */
const trustMs = 20_000;

export class Refutations {
	readonly #clock: Clock;
	/** By host. */
	readonly #saidAtMs = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** A member that was held for lost says that it lives. */
	record(host: string): void {
		const nowMs = this.#clock.monotonicMs();
		for (const [other, atMs] of this.#saidAtMs) {
			if (nowMs - atMs >= trustMs) {
				this.#saidAtMs.delete(other);
			}
		}

		this.#saidAtMs.set(host, nowMs);
	}

	/** Whether this member is not to be doubted. */
	hasRefutedRecently(host: string): boolean {
		const atMs = this.#saidAtMs.get(host);
		return atMs !== undefined && this.#clock.monotonicMs() - atMs < trustMs;
	}
}
