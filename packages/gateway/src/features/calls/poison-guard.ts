/** Keeps a request that crashes the upstreams that run it from reaching one more, at any instance. */
import type {
	Clock, Fingerprint, InstanceId, UpstreamId,
} from '@cairnbank/core';
import {defaultPoisonSettings} from '@cairnbank/core/poison-settings';
import {fingerprintOf} from '@cairnbank/core/request-fingerprint';
import {startOf} from '@cairnbank/core/registry';
import {SuspectTable} from '@cairnbank/core/suspect-table';
import type {Logger} from '../../logging/create-logger.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';

/**
 * Upstreams crash without a request's fault too, and blame every request that they ran; one that was there at three
 * crashes of different upstreams is taken for their cause.
 */
const crashesBeforeRefusal = 3;

/** A crash that one request is blamed for, told to all instances. */
export type Crash = {
	readonly fingerprint: Fingerprint;
	/** Names the start that crashed: one upstream may crash again after a restart. */
	readonly upstream: UpstreamId;
};

export type PoisonGuardOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly instance: InstanceId;
	/** Whether an upstream that broke a connection refuses new ones. */
	readonly hasCrashed: (upstream: Upstream) => Promise<boolean>;
	readonly onCrash: (crash: Crash) => void;
};

export class PoisonGuard {
	readonly #options: PoisonGuardOptions;
	readonly #suspects: SuspectTable;

	constructor(options: PoisonGuardOptions) {
		this.#options = options;
		this.#suspects = new SuspectTable(options.clock, options.instance, {...defaultPoisonSettings, crashesBeforeRefusal});
	}

	/** @returns when a refused request may come again; nothing where it may run */
	refusedForMs(call: Call): number | undefined {
		if (!this.#suspects.hasActiveSuspects) {
			return undefined;
		}

		const decision = this.#suspects.decide(fingerprint(call));
		return decision.type === 'refuse' ? decision.retryAfterMs : undefined;
	}

	/** A connection broke while the upstream ran the request. */
	async brokeOff(call: Call, upstream: Upstream): Promise<void> {
		if (!await this.#options.hasCrashed(upstream)) {
			return;
		}

		const crash = {fingerprint: fingerprint(call), upstream: startOf(upstream.registered)};
		this.#options.logger.warn('upstream crashed under a request', {id: call.requestId, ...crash});
		this.crashed(crash);
		this.#options.onCrash(crash);
	}

	/** A crash that this instance or another one saw. */
	crashed({fingerprint: blamed, upstream}: Crash): void {
		this.#suspects.recordCrash(blamed, upstream);
	}

	endedWell(call: Call): void {
		if (this.#suspects.hasActiveSuspects) {
			this.#suspects.recordSuccess(fingerprint(call));
		}
	}
}

function fingerprint({service, method, target, caller, body}: Call): Fingerprint {
	return fingerprintOf({
		service, method, path: target, tenant: caller, ...(body === undefined ? {} : {body}),
	});
}
