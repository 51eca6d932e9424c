/** Calls whose request is at an upstream now. */
import type {UpstreamId, Fingerprint} from '@cairnbank/core';
import type {Call} from './call.js';
import {fingerprintOfCall} from './fingerprint-of-call.js';

export type RunningCall = {readonly fingerprint: Fingerprint; readonly upstream: UpstreamId; readonly deadlineAtMs: number};

/** Fingerprints are taken only where suspects are looked for. */
export class RunningCalls {
	readonly #upstreams = new Map<Call, UpstreamId>();

	/** The latest upstream of a call counts. */
	set(call: Call, upstream: UpstreamId): void {
		this.#upstreams.set(call, upstream);
	}

	delete(call: Call): void {
		this.#upstreams.delete(call);
	}

	/** Those of the given requests that run. */
	find(fingerprints: ReadonlySet<Fingerprint>): RunningCall[] {
		const running = [...this.#upstreams].map(([call, upstream]) => ({fingerprint: fingerprintOfCall(call), upstream, deadlineAtMs: call.deadlineAtMs}));
		return running.filter(({fingerprint}) => fingerprints.has(fingerprint));
	}
}
