/** Tracks the calls whose request is currently at an upstream. */
import type {UpstreamId, Fingerprint} from '@cairnbank/core';
import type {Call} from './call.js';
import {fingerprintOfCall} from './fingerprint-of-call.js';

export type RunningCall = {readonly fingerprint: Fingerprint; readonly upstream: UpstreamId; readonly deadlineAtMs: number};

/** Computes fingerprints only when it searches for suspects, not for each call. */
export class RunningCalls {
	/** Upstreams by call, the one that got the request last at the end. */
	readonly #upstreams = new Map<Call, readonly UpstreamId[]>();

	/** Records that a call is sent to an upstream, maybe beside an earlier one. */
	add(call: Call, upstream: UpstreamId): void {
		this.#upstreams.set(call, [...this.#upstreams.get(call) ?? [], upstream]);
	}

	/** Records that a call no longer runs at an upstream, while it may still run at another. */
	remove(call: Call, upstream: UpstreamId): void {
		const left = (this.#upstreams.get(call) ?? []).filter(one => one !== upstream);
		if (left.length === 0) {
			this.#upstreams.delete(call);
		} else {
			this.#upstreams.set(call, left);
		}
	}

	delete(call: Call): void {
		this.#upstreams.delete(call);
	}

	/** Returns the running calls whose fingerprint is among the given ones. */
	find(fingerprints: ReadonlySet<Fingerprint>): RunningCall[] {
		const running = [...this.#upstreams].map(([call, upstreams]) => ({
			fingerprint: fingerprintOfCall(call), upstream: upstreams.at(-1)!, deadlineAtMs: call.deadlineAtMs,
		}));
		return running.filter(({fingerprint}) => fingerprints.has(fingerprint));
	}
}
