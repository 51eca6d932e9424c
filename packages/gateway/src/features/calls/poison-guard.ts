/** Blocks requests that crash upstreams. Crashes are shared, so that all instances block the same requests. */
import type {Fingerprint, InstanceId, UpstreamId} from '@cairnbank/core';
import {countCrashes} from '@cairnbank/core/count-crashes';
import {defaultPoisonSettings} from '@cairnbank/core/poison-settings';
import {fingerprintOf} from '@cairnbank/core/request-fingerprint';
import {startIdOf} from '@cairnbank/core/registry';
import {SuspectTable} from '@cairnbank/core/suspect-table';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';

/**
 * Upstreams also crash for other reasons, and then every request that they were running is suspected. A request that was
 * running at three crashes of different upstreams is considered their cause.
 */
const crashesBeforeRefusal = 3;

/** A crash during a request, reported to all instances. */
export type Crash = {
	readonly fingerprint: Fingerprint;
	/** Identifies the process that crashed, as an upstream may crash again after a restart. */
	readonly upstream: UpstreamId;
};

export type PoisonGuardOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	readonly instance: InstanceId;
	/** Whether an upstream that broke a connection refuses new connections. */
	readonly hasCrashed: (upstream: Upstream) => Promise<boolean>;
	readonly onCrash: (crash: Crash) => void;
};

export class PoisonGuard {
	readonly #options: PoisonGuardOptions;
	readonly #suspects: SuspectTable;

	constructor(options: PoisonGuardOptions) {
		this.#options = options;
		this.#suspects = new SuspectTable(options.context.clock, options.instance, {...defaultPoisonSettings, crashesBeforeRefusal});
	}

	/** @returns the delay after which a refused request may be retried; undefined if the request may run */
	refusalRetryAfterMs(call: Call): number | undefined {
		if (!this.#suspects.hasActiveSuspects) {
			return undefined;
		}

		const decision = this.#suspects.decide(fingerprint(call));
		return decision.type === 'refuse' ? decision.retryAfterMs : undefined;
	}

	/** Handles a connection that broke during a request: records and shares a crash if the upstream has crashed. */
	async handleBrokenConnection(call: Call, upstream: Upstream): Promise<void> {
		if (!await this.#options.hasCrashed(upstream)) {
			return;
		}

		const crash = {fingerprint: fingerprint(call), upstream: startIdOf(upstream.registered)};
		const crashes = this.#record(crash, 'own');
		this.#options.context.logger.warn('upstream crashed under a request', {
			id: call.requestId, ...crash, crashes, ...describeRequest(call),
		});
		this.#options.onCrash(crash);
	}

	/** Records a crash that another instance reported. */
	receiveReport(crash: Crash): void {
		const crashes = this.#record(crash, 'instance');
		this.#options.context.logger.info('crash reported by another instance', {...crash, crashes});
	}

	recordSuccess(call: Call): void {
		if (this.#suspects.hasActiveSuspects) {
			this.#suspects.recordSuccess(fingerprint(call));
		}
	}

	/** @returns the number of crashes that are now attributed to the request */
	#record({fingerprint: suspect, upstream}: Crash, source: 'own' | 'instance'): number {
		this.#options.context.metrics.crashes.inc({source});
		return countCrashes(this.#suspects.recordCrash(suspect, upstream));
	}
}

/** Describes a request for the log, so that requests can be told apart if they have the same fingerprint, and compared if they don't. */
function describeRequest({service, method, target, caller, body}: Call): Readonly<Record<string, unknown>> {
	return {
		service, method, target, caller, bodyBytes: body?.length ?? 0,
	};
}

/** Leaves out the caller's address: a caller may send a request again from any of its addresses. */
function fingerprint({service, method, target, body}: Call): Fingerprint {
	return fingerprintOf({
		service, method, path: target, ...(body === undefined ? {} : {body}),
	});
}
