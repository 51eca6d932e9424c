/** Removed incarnations, kept for some time so that digests from before the removal do not add them again. */
import type {Clock} from '../model/clock.js';
import type {IncarnationId} from '../model/ids.js';

type Tombstone = {
	readonly heartbeat: number;
	readonly untilMs: number;
};

/** Last heartbeats of removed incarnations. */
export class Tombstones {
	readonly #clock: Clock;
	readonly #keepMs: number;
	readonly #entries = new Map<IncarnationId, Tombstone>();

	constructor(clock: Clock, keepMs: number) {
		this.#clock = clock;
		this.#keepMs = keepMs;
	}

	add(incarnation: IncarnationId, heartbeat: number): void {
		this.#entries.set(incarnation, {heartbeat, untilMs: this.#clock.monotonicMs() + this.#keepMs});
	}

	/** Whether the incarnation was removed at this heartbeat or a higher one, so that an entry with it must not be added again. */
	blocks(incarnation: IncarnationId, heartbeat: number): boolean {
		const tombstone = this.#entries.get(incarnation);
		return tombstone !== undefined && heartbeat <= tombstone.heartbeat;
	}

	delete(incarnation: IncarnationId): void {
		this.#entries.delete(incarnation);
	}

	/** Removes expired tombstones. */
	sweep(): void {
		for (const [incarnation, tombstone] of this.#entries) {
			if (this.#clock.monotonicMs() >= tombstone.untilMs) {
				this.#entries.delete(incarnation);
			}
		}
	}
}
