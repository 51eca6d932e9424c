/** Blocks requests that crash upstreams. Crashes are shared, so that all instances block the same requests. */
import type {Fingerprint} from '@cairnbank/core';
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {CrashTable} from '@cairnbank/core/crash-table';
import {fingerprintOf} from '@cairnbank/core/request-fingerprint';
import {startIdOf} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';

export type PoisonGuardOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	readonly table: CrashTable;
	/** Whether an upstream that broke a connection is gone. */
	readonly hasCrashed: (upstream: Upstream) => Promise<boolean>;
	/** Sends a record to all other instances. */
	readonly announce: (record: CrashRecord) => void;
};

export class PoisonGuard {
	readonly #options: PoisonGuardOptions;
	readonly #table: CrashTable;

	constructor(options: PoisonGuardOptions) {
		this.#options = options;
		this.#table = options.table;
	}

	/** @returns the delay after which a refused request may be retried; undefined if the request may be sent to an upstream */
	refusalRetryAfterMs(call: Call): number | undefined {
		if (!this.#table.hasSuspects) {
			return undefined;
		}

		const decision = this.#table.decide(fingerprint(call));
		return decision.type === 'refuse' ? decision.retryAfterMs : undefined;
	}

	/**
	 * Admits a request that is about to be sent to an upstream, and reports its trial to all instances if it is one.
	 *
	 * @returns the delay after which a refused request may be retried; undefined if the request may be sent
	 */
	admit(call: Call): number | undefined {
		if (!this.#table.hasSuspects) {
			return undefined;
		}

		const suspect = fingerprint(call);
		const decision = this.#table.decide(suspect);
		switch (decision.type) {
			case 'run': {
				return undefined;
			}

			case 'trial': {
				this.#options.context.logger.info('request tried again after crashes', {id: call.requestId, fingerprint: suspect});
				this.#options.announce(this.#table.beginTrial(suspect));
				return undefined;
			}

			case 'refuse': {
				return decision.retryAfterMs;
			}
		}
	}

	/** Handles a connection that broke during a request: records and shares a crash if the upstream has crashed. */
	async handleBrokenConnection(call: Call, upstream: Upstream): Promise<void> {
		if (!await this.#options.hasCrashed(upstream)) {
			return;
		}

		const {context: {logger, metrics}, announce} = this.#options;
		const record = this.#table.recordCrash(fingerprint(call), startIdOf(upstream.registered));
		metrics.crashes.inc({source: 'own'});
		logger.warn('upstream crashed under a request', {
			id: call.requestId, fingerprint: record.fingerprint, upstream: startIdOf(upstream.registered), crashes: record.crashes.length, ...describeRequest(call),
		});
		this.#updateMetrics();
		announce(record);
	}

	/** Clears a request that ended well, on all instances if they may refuse it. */
	recordSuccess(call: Call, status: number): void {
		if (!this.#table.hasSuspects) {
			return;
		}

		const record = this.#table.recordSuccess(fingerprint(call));
		if (record !== undefined) {
			const {logger, metrics} = this.#options.context;
			metrics.clearedRequests.inc({status});
			logger.info('request no longer suspected', {
				id: call.requestId, fingerprint: record.fingerprint, status, ...describeRequest(call),
			});
			this.#updateMetrics();
			this.#options.announce(record);
		}
	}

	/** Takes in what other instances know of requests under which upstreams crashed. */
	receive(records: readonly CrashRecord[]): void {
		const {logger, metrics} = this.#options.context;
		for (const record of records) {
			const {fingerprint: suspect} = record;
			const newCrashes = this.#table.receive(record);
			for (const upstream of newCrashes) {
				metrics.crashes.inc({source: 'instance'});
				logger.info('crash reported by another instance', {fingerprint: suspect, upstream, crashes: this.#table.crashesOf(suspect)});
			}
		}

		this.#updateMetrics();
	}

	#updateMetrics(): void {
		this.#options.context.metrics.refusedRequests.set(this.#table.refusedCount);
	}
}

/** Describes a request for the log, so that requests can be told apart if they have the same fingerprint, and compared if they don't. */
function describeRequest({host, service, method, target, caller, body}: Call): Readonly<Record<string, unknown>> {
	return {
		host, service, method, target, caller, bodyBytes: body?.length ?? 0,
	};
}

/**
 * Contains only what the caller repeats: its address may be another each time, and so may the service that is picked for the request.
 * Contains the account, so that none can have equal requests of another blocked; a further key of the account is no way around.
 */
function fingerprint({host, method, target, account, body}: Call): Fingerprint {
	return fingerprintOf({
		service: host, method, path: target, ...(account === undefined ? {} : {tenant: account.id}), ...(body === undefined ? {} : {body}),
	});
}
