/**
 * Decides which requests are refused because upstreams crashed under them, from the crashes that this and other instances have
 * detected. Upstreams also crash for other reasons, so a refused request is tried again, by one instance at a time.
 */
import type {Clock} from '../model/clock.js';
import type {Fingerprint} from '../model/fingerprint-schema.js';
import type {UpstreamId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';
import {
	crashesBeforeRefusal, currentErrors, currentTrial, hasCrashedSince, isProven, nextTrialMs, runsOf, summaryOf, trialDelayMs,
} from './crash-evidence.js';
import {lastChangeMs, mergeCrashRecords, type CrashRecord} from './crash-record.js';
import type {UpstreamBuild} from './upstream-build.js';

/** A request that was running at a single crash is its neighbour more often than its cause, so it is not worth comparing between instances. */
const crashesBeforeExchange = 2;
/** Time after the last crash or trial from which every instance may try the request, as a rare request may never reach the one that owns the trial. */
const openTrialAfterMs = 120_000;
/** Time after its last change for which a record is kept. */
const retentionMs = 600_000;
/** The least suspicious records are removed first. */
const maximumRecords = 512;
/** Limits the bytes of one answer to another instance to a few datagrams. */
const maximumSharedRecords = 32;
const digestRange = 4_294_967_296;

export type CrashDecision =
	| {readonly type: 'run'}
	/** The request may run once, to find out whether it still crashes upstreams; its start must be recorded. */
	| {readonly type: 'trial'}
	| {readonly type: 'refuse'; readonly retryAfterMs: number};

/** A table of crash records with a maximum size. While it is empty, which is the normal case, requests need no fingerprint. */
export class CrashTable {
	readonly #clock: Clock;
	/** Returns whether this instance is the one that may try a request first. */
	readonly #ownsTrial: (fingerprint: Fingerprint) => boolean;
	readonly #records = new Map<Fingerprint, CrashRecord>();
	#suspectedCount = 0;

	constructor(clock: Clock, ownsTrial: (fingerprint: Fingerprint) => boolean) {
		this.#clock = clock;
		this.#ownsTrial = ownsTrial;
	}

	/** True if any request has crashes attributed to it. Requests need a fingerprint only then. */
	get hasSuspects(): boolean {
		return this.#suspectedCount > 0;
	}

	/** Number of requests that are refused but for trials. */
	get refusedCount(): number {
		return [...this.#records.values()].filter(({crashes}) => crashes.length >= crashesBeforeRefusal).length;
	}

	/** Differs between instances of which one lacks crashes or successful runs that the other knows; 0 while nothing is worth comparing. */
	get digest(): number {
		this.#removeExpired();
		return [...this.#records.values()].filter(({crashes}) => crashes.length >= crashesBeforeExchange)
			.reduce((sum, record) => (sum + hashText(summaryOf(record))) % digestRange, 0);
	}

	crashesOf(fingerprint: Fingerprint): number {
		return this.#records.get(fingerprint)?.crashes.length ?? 0;
	}

	/** Returns whether this crash is known and counts. */
	hasCrash(fingerprint: Fingerprint, upstream: UpstreamId): boolean {
		return this.#records.get(fingerprint)?.crashes.some(crash => crash.upstream === upstream) ?? false;
	}

	/** Decides whether a request may run at an upstream of this build. */
	decide(fingerprint: Fingerprint, build: UpstreamBuild): CrashDecision {
		const record = this.#records.get(fingerprint);
		if (record === undefined || record.crashes.length < crashesBeforeRefusal || isProven(record, build)) {
			return {type: 'run'};
		}

		const nowMs = this.#clock.monotonicMs();
		const trialAtMs = nextTrialMs(record, build);
		if (nowMs < trialAtMs) {
			return {type: 'refuse', retryAfterMs: trialAtMs - nowMs};
		}

		const isOpen = nowMs >= lastChangeMs(record) + openTrialAfterMs;
		return isOpen || this.#ownsTrial(fingerprint) ? {type: 'trial'} : {type: 'refuse', retryAfterMs: trialDelayMs};
	}

	/** @returns the record, which must be sent to all other instances */
	recordCrash(fingerprint: Fingerprint, upstream: UpstreamId, build: UpstreamBuild): CrashRecord {
		return this.#merge({fingerprint, crashes: [{upstream, build, atMs: this.#clock.monotonicMs()}], runs: []});
	}

	/** @returns the record, which must be sent to all other instances before the request is sent */
	beginTrial(fingerprint: Fingerprint, build: UpstreamBuild): CrashRecord {
		const count = (runsOf(this.#records.get(fingerprint), build)?.trial?.count ?? 0) + 1;
		return this.#merge({fingerprint, crashes: [], runs: [{build, trial: {startedAtMs: this.#clock.monotonicMs(), count}}]});
	}

	/**
	 * Records a run that ended well. It says nothing about upstreams of another build, nor about crashes after it had begun.
	 *
	 * @returns the record, which must be sent to all other instances; undefined if they need not know of the run
	 */
	recordSuccess(fingerprint: Fingerprint, build: UpstreamBuild, startedAtMs: number): CrashRecord | undefined {
		const known = this.#records.get(fingerprint);
		if (known === undefined || known.crashes.length === 0) {
			return undefined;
		}

		const record = this.#merge({fingerprint, crashes: [], runs: [{build, clearedAtMs: startedAtMs}]});
		const isWorthReporting = known.crashes.length >= crashesBeforeExchange && summaryOf(record) !== summaryOf(known);
		return isWorthReporting ? record : undefined;
	}

	/**
	 * Records a run that ended with an error answer. An upstream may fail a request before it runs it, so this shows only that a trial crashed
	 * no upstream.
	 *
	 * @returns the record, which must be sent to all other instances; undefined if they need not know of the run
	 */
	recordError(fingerprint: Fingerprint, build: UpstreamBuild, startedAtMs: number): CrashRecord | undefined {
		const record = this.#records.get(fingerprint);
		const trial = record === undefined ? undefined : currentTrial(record, build);
		if (record === undefined || trial === undefined || startedAtMs < trial.startedAtMs || hasCrashedSince(record, build, trial.startedAtMs)) {
			return undefined;
		}

		const count = (currentErrors(record, build)?.count ?? 0) + 1;
		return this.#merge({fingerprint, crashes: [], runs: [{build, errors: {lastAtMs: this.#clock.monotonicMs(), count}}]});
	}

	/** Takes in a record of another instance. @returns the crashes that this instance did not know */
	receive(record: CrashRecord): readonly UpstreamId[] {
		if (lastChangeMs(record) < this.#clock.monotonicMs() - retentionMs) {
			return [];
		}

		const known = new Set(this.#records.get(record.fingerprint)?.crashes.map(({upstream}) => upstream));
		const merged = this.#merge(record);
		return merged.crashes.map(({upstream}) => upstream).filter(upstream => !known.has(upstream));
	}

	/** Records for an instance whose digest differs, the most suspicious first. */
	shared(): readonly CrashRecord[] {
		this.#removeExpired();
		const records = [...this.#records.values()].filter(({crashes, runs}) => crashes.length >= crashesBeforeExchange || runs.some(({clearedAtMs}) => clearedAtMs !== undefined));
		return records.toSorted(compareSuspicion).toReversed().slice(0, maximumSharedRecords);
	}

	#merge(record: CrashRecord): CrashRecord {
		const {fingerprint} = record;
		const known = this.#records.get(fingerprint);
		const merged = mergeCrashRecords(known ?? {fingerprint, crashes: [], runs: []}, record);
		this.#remove(fingerprint);
		this.#records.set(fingerprint, merged);
		this.#suspectedCount += merged.crashes.length > 0 ? 1 : 0;
		if (this.#records.size > maximumRecords) {
			this.#removeExpired();
			this.#removeExcess();
		}

		return merged;
	}

	#remove(fingerprint: Fingerprint): void {
		this.#suspectedCount -= this.crashesOf(fingerprint) > 0 ? 1 : 0;
		this.#records.delete(fingerprint);
	}

	#removeExpired(): void {
		const oldestMs = this.#clock.monotonicMs() - retentionMs;
		for (const record of this.#records.values()) {
			if (lastChangeMs(record) < oldestMs) {
				this.#remove(record.fingerprint);
			}
		}
	}

	#removeExcess(): void {
		const excess = Math.max(0, this.#records.size - maximumRecords);
		for (const {fingerprint} of [...this.#records.values()].toSorted(compareSuspicion).slice(0, excess)) {
			this.#remove(fingerprint);
		}
	}
}

function compareSuspicion(left: CrashRecord, right: CrashRecord): number {
	return left.crashes.length - right.crashes.length || lastChangeMs(left) - lastChangeMs(right);
}
