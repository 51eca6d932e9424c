/** Requests that were abandoned while an upstream may still be running them. */
import type {Clock, UpstreamId, Fingerprint} from '@cairnbank/core';

/** Time after its abandonment during which a request can be the suspected cause of an upstream's crash. */
const retentionMs = 10_000;
const maximumPerUpstream = 64;

type AbandonedRequest = {readonly fingerprint: Fingerprint; readonly atMs: number};

/** Keeps the latest abandoned requests of each upstream, so that a request whose caller disconnects before the crash becomes a suspect too. */
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

	/** Returns whether any recently abandoned request may have caused a crash of the upstream. */
	has(upstream: UpstreamId): boolean {
		return this.#byUpstream.size > 0 && this.#recent(upstream).length > 0;
	}

	/** Removes and returns the requests that the upstream may have been running when it crashed. */
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
