/** Tracks the calls whose request is currently at an upstream. */
import type {UpstreamId, Fingerprint} from '@cairnbank/core';
import type {Call} from './call.js';
import {fingerprintOfCall} from './fingerprint-of-call.js';

export type RunningCall = {readonly fingerprint: Fingerprint; readonly upstream: UpstreamId; readonly deadlineAtMs: number};

/** Computes fingerprints only when it searches for suspects, not for each call. */
export class RunningCalls {
	readonly #upstreams = new Map<Call, UpstreamId>();

	/** Records the upstream of a call; replaces an earlier upstream of the same call. */
	set(call: Call, upstream: UpstreamId): void {
		this.#upstreams.set(call, upstream);
	}

	delete(call: Call): void {
		this.#upstreams.delete(call);
	}

	/** Returns the running calls whose fingerprint is among the given ones. */
	find(fingerprints: ReadonlySet<Fingerprint>): RunningCall[] {
		const running = [...this.#upstreams].map(([call, upstream]) => ({fingerprint: fingerprintOfCall(call), upstream, deadlineAtMs: call.deadlineAtMs}));
		return running.filter(({fingerprint}) => fingerprints.has(fingerprint));
	}
}
