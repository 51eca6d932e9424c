/** Distinguishes entries that arrive late from new ones, even after the upstream that wrote them is gone. */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import type {RegisteredUpstream} from './registered-upstream.js';

/** The store may complete a write some seconds after the writer has given up on it; the rest is a safety margin. */
const maximumWriteDelayMs = 30_000;
/** Limits the memory for upstreams that are gone. It suffices for some minutes of releases with 990 upstreams. */
const maximumEntries = 4096;

type LastEntry = Pick<RegisteredUpstream, 'startedAtMs' | 'sequence'> & {readonly seenAtMs: number};

/** Keeps the newest entry of each upstream, so that an earlier entry can't bring back an upstream that has left. */
export class LateEntryFilter {
	readonly #clock: Clock;
	/** Ordered by the time at which they were recorded, the latest last. */
	readonly #newest = new Map<UpstreamId, LastEntry>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Whether the entry is older than the newest recorded one.
	 *
	 * @param isKnown - whether the upstream is in the registry now; an entry with the recorded sequence is then not outdated
	 */
	isOutdated({id, startedAtMs, sequence}: RegisteredUpstream, isKnown: boolean): boolean {
		const newest = this.#newest.get(id);
		if (newest === undefined) {
			return false;
		}

		if (startedAtMs !== newest.startedAtMs) {
			return startedAtMs < newest.startedAtMs;
		}

		if (isKnown) {
			return sequence < newest.sequence;
		}

		// Upstreams that don't report their start time may restart their sequence, but only after this time.
		return sequence <= newest.sequence && this.#clock.monotonicMs() - newest.seenAtMs < maximumWriteDelayMs;
	}

	/** Records an entry as the newest one of its upstream. */
	recordEntry({id, startedAtMs, sequence}: RegisteredUpstream): void {
		this.#newest.delete(id);
		this.#newest.set(id, {startedAtMs, sequence, seenAtMs: this.#clock.monotonicMs()});
		if (this.#newest.size > maximumEntries) {
			const [oldest] = this.#newest.keys();
			this.#newest.delete(oldest!);
		}
	}
}
