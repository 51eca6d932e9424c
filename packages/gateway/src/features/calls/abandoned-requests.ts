/**
 * Remembers requests that were cancelled or timed out while upstreams were running them. An upstream may still crash under such a request,
 * also if it has closed the connection at once.
 */
import type {Clock, UpstreamId} from '@cairnbank/core';
import type {UpstreamBuild} from '@cairnbank/core/upstream-build';
import type {SuspectRequest} from './suspect-request.js';

/** Time after which an upstream has stopped working on an abandoned request. */
const retentionMs = 1000;
const maximumRequests = 512;

/** A request at one process of an upstream. */
export type SuspectRun = {
	readonly suspect: SuspectRequest;
	/** Start id of the upstream. */
	readonly upstream: UpstreamId;
	readonly build: UpstreamBuild;
};

type AbandonedRun = SuspectRun & {readonly atMs: number};

export class AbandonedRequests {
	readonly #clock: Clock;
	/** The oldest first. */
	#runs: readonly AbandonedRun[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(run: SuspectRun): void {
		this.#runs = [...this.#recent().slice(1 - maximumRequests), {...run, atMs: this.#clock.monotonicMs()}];
	}

	/** Forgets a request whose run has ended with an answer. */
	forget(upstream: UpstreamId, requestId: string | undefined): void {
		this.#runs = this.#runs.filter(run => run.upstream !== upstream || run.suspect.requestId !== requestId);
	}

	/** Returns the requests that the upstream may still be running. */
	at(upstream: UpstreamId): readonly SuspectRun[] {
		return this.#recent().filter(run => run.upstream === upstream);
	}

	#recent(): readonly AbandonedRun[] {
		const oldestMs = this.#clock.monotonicMs() - retentionMs;
		return this.#runs.filter(({atMs}) => atMs >= oldestMs);
	}
}
