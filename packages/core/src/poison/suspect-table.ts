/** Holds the suspects that this instance and its peers have reported. */
import type {Clock} from '../model/clock.js';
import type {InstanceId, UpstreamId} from '../model/ids.js';
import type {Fingerprint} from '../model/fingerprint-schema.js';
import {countCrashes} from './count-crashes.js';
import {mergeSuspects} from './merge-suspects.js';
import type {PoisonDecision} from './poison-decision.js';
import {defaultPoisonSettings, type PoisonSettings} from './poison-settings.js';
import type {Suspect, Trial} from './suspect.js';
import {clampFutureTimes} from './clamp-future-times.js';

export type SuspectCounts = {readonly suspected: number; readonly onTrial: number; readonly refused: number};

function lastChangeMs(suspect: Suspect): number {
	return suspect.crashes.at(-1)?.atMs ?? suspect.clearedAtMs;
}

function compareSuspicion(left: Suspect, right: Suspect): number {
	return countCrashes(left) - countCrashes(right) || lastChangeMs(left) - lastChangeMs(right);
}

/** A table of suspects with a maximum size. While no suspect is active, which is the normal case, requests need no fingerprint. */
export class SuspectTable {
	readonly #clock: Clock;
	readonly #instance: InstanceId;
	readonly #settings: PoisonSettings;
	readonly #suspects = new Map<Fingerprint, Suspect>();
	#activeCount = 0;

	constructor(clock: Clock, instance: InstanceId, settings: PoisonSettings = defaultPoisonSettings) {
		this.#clock = clock;
		this.#instance = instance;
		this.#settings = settings;
	}

	get size(): number {
		return this.#suspects.size;
	}

	/** Whether any suspect has crashes attributed to it. Requests need a fingerprint only then. */
	get hasActiveSuspects(): boolean {
		return this.#activeCount > 0;
	}

	/** Returns the current number of suspects in each state. */
	counts(): SuspectCounts {
		const decisions = [...this.#suspects.keys()].map(fingerprint => this.decide(fingerprint).type);
		const count = (type: PoisonDecision['type']) => decisions.filter(decision => decision === type).length;
		return {suspected: count('trial'), onTrial: count('await-trial'), refused: count('refuse')};
	}

	/** Decides whether a request may run. */
	decide(fingerprint: Fingerprint): PoisonDecision {
		const suspect = this.#suspects.get(fingerprint);
		const count = suspect === undefined ? 0 : countCrashes(suspect);
		if (suspect === undefined || count === 0) {
			return {type: 'run'};
		}

		const nowMs = this.#nowMs();
		const refusedUntilMs = lastChangeMs(suspect) + this.#settings.refusalMs;
		if (count >= this.#settings.crashesBeforeRefusal && refusedUntilMs > nowMs) {
			return {type: 'refuse', retryAfterMs: refusedUntilMs - nowMs};
		}

		const trialUntilMs = suspect.trial?.untilMs ?? 0;
		return trialUntilMs > nowMs ? {type: 'await-trial', waitMs: trialUntilMs - nowMs} : {type: 'trial'};
	}

	/**
	 * Records that a trial of a suspect is about to start at an upstream.
	 * @param fingerprint Fingerprint of the suspect.
	 * @param upstream The upstream that receives the request.
	 * @param durationMs Time until the request's deadline; limited to `maximumTrialMs`.
	 * @returns The suspect, which must be sent to all peers before the request is sent.
	 */
	beginTrial(fingerprint: Fingerprint, upstream: UpstreamId, durationMs: number): Suspect {
		const startedAtMs = this.#nowMs();
		const untilMs = startedAtMs + Math.ceil(Math.min(Math.max(durationMs, 0), this.#settings.maximumTrialMs));
		const trial: Trial = {
			instance: this.#instance, upstream, startedAtMs, untilMs,
		};
		return this.#put({...this.#get(fingerprint), trial});
	}

	/** Returns the upstreams where a trial is in progress. No other suspect is sent there, so that a crash can be attributed to one request. */
	upstreamsWithTrial(): Set<UpstreamId> {
		const nowMs = this.#nowMs();
		const trials = [...this.#suspects.values()].map(suspect => suspect.trial).filter(trial => trial !== undefined);
		return new Set(trials.filter(trial => trial.untilMs > nowMs).map(trial => trial.upstream));
	}

	/**
	 * Records that an upstream crashed while the request was in flight there.
	 * @returns The suspect, which must be sent to all peers immediately.
	 */
	recordCrash(fingerprint: Fingerprint, upstream: UpstreamId): Suspect {
		const atMs = this.#nowMs();
		const known = this.#withTrialEnded(this.#get(fingerprint));
		return this.#put(mergeSuspects(known, {...known, crashes: [{upstream, atMs}]}));
	}

	/**
	 * Clears a request after a successful run.
	 * @returns The suspect, which must be sent to the peers, or `undefined` if the request was not suspected.
	 */
	recordSuccess(fingerprint: Fingerprint): Suspect | undefined {
		const known = this.#suspects.get(fingerprint);
		if (known === undefined || countCrashes(known) === 0) {
			return undefined;
		}

		return this.#put({...this.#withTrialEnded(known), crashes: [], clearedAtMs: this.#nowMs()});
	}

	/**
	 * Ends a trial of this instance that was inconclusive.
	 * @returns The suspect, which must be sent to the peers, or `undefined` if this instance had no trial in progress.
	 */
	endTrial(fingerprint: Fingerprint): Suspect | undefined {
		const known = this.#suspects.get(fingerprint);
		const isOwn = known?.trial?.instance === this.#instance && known.trial.untilMs > this.#nowMs();
		return isOwn ? this.#put(this.#withTrialEnded(known)) : undefined;
	}

	/** Merges suspects that were received from a peer. Times in the future are replaced by the current time. */
	merge(suspects: readonly Suspect[]): void {
		const nowMs = this.#nowMs();
		for (const suspect of suspects) {
			const received = clampFutureTimes(suspect, nowMs, this.#settings.maximumTrialMs);
			const known = this.#suspects.get(received.fingerprint);
			this.#put(known === undefined ? received : mergeSuspects(known, received));
		}
	}

	/** Returns up to `maximum` suspects for a peer, the most suspicious first. */
	mostSuspicious(maximum: number): Suspect[] {
		this.#removeExpired();
		return [...this.#suspects.values()].sort(compareSuspicion).reverse().slice(0, maximum);
	}

	#nowMs(): number {
		return this.#clock.now().getTime();
	}

	#get(fingerprint: Fingerprint): Suspect {
		return this.#suspects.get(fingerprint) ?? {fingerprint, crashes: [], clearedAtMs: 0};
	}

	#put(suspect: Suspect): Suspect {
		this.#remove(suspect.fingerprint);
		this.#suspects.set(suspect.fingerprint, suspect);
		this.#activeCount += suspect.crashes.length > 0 ? 1 : 0;
		if (this.#suspects.size > this.#settings.maximumSuspects) {
			this.#removeExpired();
			this.#evictLeastSuspicious();
		}

		return suspect;
	}

	#remove(fingerprint: Fingerprint): void {
		const wasActive = (this.#suspects.get(fingerprint)?.crashes.length ?? 0) > 0;
		this.#activeCount -= wasActive ? 1 : 0;
		this.#suspects.delete(fingerprint);
	}

	#withTrialEnded(suspect: Suspect): Suspect {
		const {trial} = suspect;
		if (trial?.instance !== this.#instance) {
			return suspect;
		}

		return {...suspect, trial: {...trial, untilMs: Math.min(trial.untilMs, this.#nowMs())}};
	}

	#removeExpired(): void {
		const oldestMs = this.#nowMs() - this.#settings.suspectRetentionMs;
		for (const suspect of this.#suspects.values()) {
			if (lastChangeMs(suspect) < oldestMs) {
				this.#remove(suspect.fingerprint);
			}
		}
	}

	#evictLeastSuspicious(): void {
		const excess = this.#suspects.size - this.#settings.maximumSuspects;
		const sorted = [...this.#suspects.values()].sort(compareSuspicion);
		for (const suspect of sorted.slice(0, Math.max(0, excess))) {
			this.#remove(suspect.fingerprint);
		}
	}
}
