/** Requests that were given up while an upstream may still run them. */
import type {Clock, UpstreamId, Fingerprint} from '@cairnbank/core';

/** Time after which an upstream's crash is no longer laid to them. */
const retentionMs = 10_000;
const maximumPerUpstream = 64;

type AbandonedRequest = {readonly fingerprint: Fingerprint; readonly atMs: number};

/** The latest ones of each upstream, so that a caller who doesn't wait for the crash is found out as well. */
export class AbandonedRequests {
	readonly #clock: Clock;
	readonly #byUpstream = new Map<UpstreamId, AbandonedRequest[]>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	add(fingerprint: Fingerprint, upstream: UpstreamId): void {
		const kept = this.#recent(upstream).slice(1 - maximumPerUpstream);
		this.#byUpstream.set(upstream, [...kept, {fingerprint, atMs: this.#clock.monotonicMs()}]);
	}

	/** Whether a crash of the upstream might be laid to any. */
	has(upstream: UpstreamId): boolean {
		return this.#byUpstream.size > 0 && this.#recent(upstream).length > 0;
	}

	/** Takes out those that an upstream may have run when it crashed. */
	take(upstream: UpstreamId): Fingerprint[] {
		const recent = this.#recent(upstream);
		this.#byUpstream.delete(upstream);
		return recent.map(({fingerprint}) => fingerprint);
	}

	#recent(upstream: UpstreamId): AbandonedRequest[] {
		const oldestMs = this.#clock.monotonicMs() - retentionMs;
		return (this.#byUpstream.get(upstream) ?? []).filter(({atMs}) => atMs >= oldestMs);
	}
}
