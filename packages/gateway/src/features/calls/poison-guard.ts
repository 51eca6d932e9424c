/** Blocks requests that crash upstreams. Crashes are shared, so that all instances block the same requests. */
import type {ServiceId, UpstreamId} from '@cairnbank/core';
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {CrashDecision, CrashTable} from '@cairnbank/core/crash-table';
import {startIdOf} from '@cairnbank/core/registry';
import {buildOf, type UpstreamBuild} from '@cairnbank/core/upstream-build';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from '../upstreams/upstream.js';
import {AbandonedRequests, type SuspectRun} from './abandoned-requests.js';
import type {Call} from './call.js';
import {fingerprintOfCall, suspectOf, type SuspectRequest} from './suspect-request.js';

/** An upstream may give an answer of this status or above without having run the request. */
const firstErrorStatus = 400;

export type PoisonGuardOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	readonly table: CrashTable;
	/** Finds out whether an upstream that broke a connection is gone. */
	readonly hasCrashed: (upstream: Upstream) => Promise<boolean>;
	/** Returns the builds of the upstreams that take requests for a service. */
	readonly buildsOf: (service: ServiceId) => ReadonlySet<UpstreamBuild>;
	/** Keeps a connection to an upstream open, so that it shows if the upstream ends. */
	readonly watch: (upstream: Upstream) => void;
	/** Sends a record to all other instances. */
	readonly announce: (record: CrashRecord) => void;
};

/** Source of the knowledge of a crash: an attempt that was waited for, one that was abandoned, or another instance. */
type CrashSource = 'own' | 'abandoned' | 'instance';

export type AnsweredRun = {
	readonly status: number;
	/** Time at which the request was sent to the upstream. */
	readonly sentAtMs: number;
};

export type Abandonment = {
	/** True if another attempt has answered the request, which then is no likely cause of a crash. */
	readonly isAnswered: boolean;
};

export class PoisonGuard {
	readonly #options: PoisonGuardOptions;
	readonly #table: CrashTable;
	readonly #abandoned: AbandonedRequests;
	/** Start ids of upstreams that are being checked because a connection without a request was lost. */
	readonly #checked = new Set<UpstreamId>();

	constructor(options: PoisonGuardOptions) {
		this.#options = options;
		this.#table = options.table;
		this.#abandoned = new AbandonedRequests(options.context.clock);
	}

	/** @returns the delay after which a refused request may be retried; undefined if the request may be sent to some upstream of its service */
	refusalRetryAfterMs(call: Call): number | undefined {
		if (!this.#table.hasSuspects) {
			return undefined;
		}

		const fingerprint = fingerprintOfCall(call);
		const decisions = [...this.#options.buildsOf(call.service)].map(build => this.#table.decide(fingerprint, build));
		const refusals = decisions.filter(decision => decision.type === 'refuse');
		return refusals.length === 0 || refusals.length < decisions.length ? undefined : Math.min(...refusals.map(({retryAfterMs}) => retryAfterMs));
	}

	/**
	 * Admits a request that is about to be sent to this upstream, and reports its trial to all instances if it is one.
	 *
	 * @returns the delay after which a refused request may be retried; undefined if the request may be sent
	 */
	admit(call: Call, {registered}: Pick<Upstream, 'registered'>): number | undefined {
		if (!this.#table.hasSuspects) {
			return undefined;
		}

		const suspect = fingerprintOfCall(call);
		const build = buildOf(registered);
		const decision: CrashDecision = this.#table.decide(suspect, build);
		switch (decision.type) {
			case 'run': {
				return undefined;
			}

			case 'trial': {
				this.#options.context.logger.info('request tried again after crashes', {id: call.requestId, fingerprint: suspect});
				this.#options.announce(this.#table.beginTrial(suspect, build));
				return undefined;
			}

			case 'refuse': {
				return decision.retryAfterMs;
			}
		}
	}

	/** Handles a connection that broke during a request: records and shares a crash if the upstream has crashed. @returns whether it has */
	async handleBrokenConnection(call: Call, upstream: Upstream): Promise<boolean> {
		if (!await this.#options.hasCrashed(upstream)) {
			return false;
		}

		this.#recordCrash({suspect: suspectOf(call), ...runOf(upstream)}, 'own');
		this.#blameAbandoned(startIdOf(upstream.registered));
		return true;
	}

	/**
	 * Remembers a request that was cancelled or timed out while an upstream was running it. Watches the upstream unless the request was
	 * answered otherwise.
	 */
	recordAbandoned(suspect: SuspectRequest, upstream: Upstream, {isAnswered}: Abandonment): void {
		this.#abandoned.record({suspect, ...runOf(upstream)});
		if (!isAnswered) {
			this.#options.watch(upstream);
		}
	}

	/** Forgets an abandoned request whose run has ended with an answer after all. */
	forgetAbandoned(requestId: string | undefined, upstream: Upstream): void {
		this.#abandoned.forget(startIdOf(upstream.registered), requestId);
	}

	/** Handles a connection that an upstream refused or closed while it carried no request: the upstream may have crashed under an abandoned one. */
	async handleLostConnection(upstream: Upstream): Promise<void> {
		const process = startIdOf(upstream.registered);
		const runs = this.#abandoned.at(process);
		if (this.#checked.has(process) || runs.length === 0) {
			return;
		}

		this.#checked.add(process);
		if (await this.#options.hasCrashed(upstream)) {
			for (const run of runs) {
				this.#recordCrash(run, 'abandoned');
			}
		}

		this.#checked.delete(process);
	}

	/** Learns from an answer. A request that ended well is cleared, on all instances if they may refuse it at upstreams like that one. */
	recordAnswer(call: Call, {registered}: Upstream, {status, sentAtMs}: AnsweredRun): void {
		if (!this.#table.hasSuspects) {
			return;
		}

		const fingerprint = fingerprintOfCall(call);
		const build = buildOf(registered);
		if (status >= firstErrorStatus) {
			const record = this.#table.recordError(fingerprint, build, sentAtMs);
			if (record !== undefined) {
				this.#options.announce(record);
			}

			return;
		}

		const record = this.#table.recordSuccess(fingerprint, build, sentAtMs);
		if (record !== undefined) {
			const {logger, metrics} = this.#options.context;
			metrics.clearedRequests.inc({status});
			logger.info('request no longer suspected', {
				id: call.requestId, fingerprint: record.fingerprint, status, ...suspectOf(call).description,
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
				this.#blameAbandoned(upstream);
			}
		}

		this.#updateMetrics();
	}

	/** Records and shares a crash, unless it is known. */
	#recordCrash({suspect, upstream: process, build}: SuspectRun, source: CrashSource): void {
		const {context: {logger, metrics}, announce} = this.#options;
		const fingerprint = suspect.fingerprint();
		if (this.#table.hasCrash(fingerprint, process)) {
			return;
		}

		const record = this.#table.recordCrash(fingerprint, process, build);
		metrics.crashes.inc({source});
		logger.warn('upstream crashed under a request', {
			id: suspect.requestId, fingerprint, upstream: process, crashes: record.crashes.length, source, ...suspect.description,
		});
		this.#updateMetrics();
		announce(record);
	}

	/** Attributes a crash to the abandoned requests that the upstream may still have been running. */
	#blameAbandoned(process: UpstreamId): void {
		for (const run of this.#abandoned.at(process)) {
			this.#recordCrash(run, 'abandoned');
		}
	}

	#updateMetrics(): void {
		this.#options.context.metrics.refusedRequests.set(this.#table.refusedCount);
	}
}

function runOf({registered}: Upstream): Omit<SuspectRun, 'suspect'> {
	return {upstream: startIdOf(registered), build: buildOf(registered)};
}
