/**
 * Remembers requests that were cancelled or timed out while upstreams were running them. An upstream may still crash under such a request,
 * also if it has closed the connection at once.
 */
import type {Clock, UpstreamId} from '@cairnbank/core';
import type {SuspectRequest} from './suspect-request.js';

/** Time after which an upstream has stopped working on an abandoned request. */
const retentionMs = 1000;
const maximumRequests = 512;

type AbandonedRequest = {
	/** Start id of the upstream that was running the request. */
	readonly upstream: UpstreamId;
	readonly requestId: string | undefined;
	readonly suspect: SuspectRequest;
	readonly atMs: number;
};

export class AbandonedRequests {
	readonly #clock: Clock;
	/** The oldest first. */
	#requests: readonly AbandonedRequest[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(upstream: UpstreamId, suspect: SuspectRequest): void {
		const atMs = this.#clock.monotonicMs();
		const {requestId} = suspect;
		this.#requests = [...this.#recent().slice(1 - maximumRequests), {
			upstream, requestId, suspect, atMs,
		}];
	}

	/** Forgets a request whose run has ended with an answer. */
	forget(upstream: UpstreamId, requestId: string | undefined): void {
		this.#requests = this.#requests.filter(request => request.upstream !== upstream || request.requestId !== requestId);
	}

	/** Returns the requests that the upstream may still be running. */
	at(upstream: UpstreamId): readonly SuspectRequest[] {
		return this.#recent().filter(request => request.upstream === upstream).map(({suspect}) => suspect);
	}

	#recent(): readonly AbandonedRequest[] {
		const oldestMs = this.#clock.monotonicMs() - retentionMs;
		return this.#requests.filter(({atMs}) => atMs >= oldestMs);
	}
}
