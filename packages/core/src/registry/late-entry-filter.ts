/** Tells entries that arrive late from new ones, also after the upstream that wrote them is gone. */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import type {RegisteredUpstream} from './registered-upstream.js';

/** A write to the store may be done some seconds after its writer has given it up; the rest is tolerance. */
const lateWriteMs = 30_000;
/** Bounds what is kept of upstreams that are gone: some minutes of releases at 990 upstreams. */
const maximumKept = 4096;

type Seen = Pick<RegisteredUpstream, 'startedAtMs' | 'sequence'> & {readonly seenAtMs: number};

/** Newest entry of each upstream; guards against one that has left being brought back by an entry written before. */
export class LateEntryFilter {
	readonly #clock: Clock;
	/** Last seen last. */
	readonly #newest = new Map<UpstreamId, Seen>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** @param isKnown - whether the upstream is in the registry now: the entry that it has is then not outdated */
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

		// Upstreams that don't tell their start may count anew, but not within this time.
		return sequence <= newest.sequence && this.#clock.monotonicMs() - newest.seenAtMs < lateWriteMs;
	}

	recordEntry({id, startedAtMs, sequence}: RegisteredUpstream): void {
		this.#newest.delete(id);
		this.#newest.set(id, {startedAtMs, sequence, seenAtMs: this.#clock.monotonicMs()});
		if (this.#newest.size > maximumKept) {
			const [oldest] = this.#newest.keys();
			this.#newest.delete(oldest!);
		}
	}
}
