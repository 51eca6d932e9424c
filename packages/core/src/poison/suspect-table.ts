/** The suspects that one instance knows of, its own and its peers'. */
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

/** Bounded table of suspects; blames nobody on an ordinary day, so that no request needs a fingerprint. */
export class SuspectTable {
	readonly #clock: Clock;
	readonly #instance: InstanceId;
	readonly #settings: PoisonSettings;
	readonly #suspects = new Map<Fingerprint, Suspect>();
	#blamedCount = 0;

	constructor(clock: Clock, instance: InstanceId, settings: PoisonSettings = defaultPoisonSettings) {
		this.#clock = clock;
		this.#instance = instance;
		this.#settings = settings;
	}

	get size(): number {
		return this.#suspects.size;
	}

	/** Whether any request is blamed; only then requests need a fingerprint. */
	get hasActiveSuspects(): boolean {
		return this.#blamedCount > 0;
	}

	/** How many requests are held in each state now. */
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
	 * Notes that a suspect is about to run at an upstream.
	 * @param fingerprint The suspect.
	 * @param upstream Where it runs.
	 * @param durationMs What its deadline leaves it; bounded by the settings.
	 * @returns The suspect, to be told to all peers before the request is sent.
	 */
	beginTrial(fingerprint: Fingerprint, upstream: UpstreamId, durationMs: number): Suspect {
		const startedAtMs = this.#nowMs();
		const untilMs = startedAtMs + Math.ceil(Math.min(Math.max(durationMs, 0), this.#settings.maximumTrialMs));
		const trial: Trial = {
			instance: this.#instance, upstream, startedAtMs, untilMs,
		};
		return this.#put({...this.#get(fingerprint), trial});
	}

	/** Upstreams at which a suspect runs now: no other suspect is tried there, so that blame stays apart. */
	upstreamsUnderTrial(): Set<UpstreamId> {
		const nowMs = this.#nowMs();
		const trials = [...this.#suspects.values()].map(suspect => suspect.trial).filter(trial => trial !== undefined);
		return new Set(trials.filter(trial => trial.untilMs > nowMs).map(trial => trial.upstream));
	}

	/**
	 * Blames a request for a crash.
	 * @returns The suspect, to be told to all peers at once.
	 */
	recordCrash(fingerprint: Fingerprint, upstream: UpstreamId): Suspect {
		const atMs = this.#nowMs();
		const known = this.#withTrialEnded(this.#get(fingerprint));
		return this.#put(mergeSuspects(known, {...known, crashes: [{upstream, atMs}]}));
	}

	/**
	 * Clears a request whose run ended well.
	 * @returns The suspect, to be told to the peers, or nothing where it was none.
	 */
	recordSuccess(fingerprint: Fingerprint): Suspect | undefined {
		const known = this.#suspects.get(fingerprint);
		if (known === undefined || countCrashes(known) === 0) {
			return undefined;
		}

		return this.#put({...this.#withTrialEnded(known), crashes: [], clearedAtMs: this.#nowMs()});
	}

	/**
	 * Ends a trial of this instance that brought no proof either way.
	 * @returns The suspect, to be told to the peers, or nothing where no such trial was under way.
	 */
	endTrial(fingerprint: Fingerprint): Suspect | undefined {
		const known = this.#suspects.get(fingerprint);
		const isOwn = known?.trial?.instance === this.#instance && known.trial.untilMs > this.#nowMs();
		return isOwn ? this.#put(this.#withTrialEnded(known)) : undefined;
	}

	/** Joins suspects that a peer told of. Times ahead of the own clock are taken as now. */
	merge(suspects: readonly Suspect[]): void {
		const nowMs = this.#nowMs();
		for (const suspect of suspects) {
			const told = clampFutureTimes(suspect, nowMs, this.#settings.maximumTrialMs);
			const known = this.#suspects.get(told.fingerprint);
			this.#put(known === undefined ? told : mergeSuspects(known, told));
		}
	}

	/** All that a peer should know, the most suspicious first. */
	mostSuspicious(maximum: number): Suspect[] {
		this.#dropForgotten();
		return [...this.#suspects.values()].sort(compareSuspicion).reverse().slice(0, maximum);
	}

	#nowMs(): number {
		return this.#clock.now().getTime();
	}

	#get(fingerprint: Fingerprint): Suspect {
		return this.#suspects.get(fingerprint) ?? {fingerprint, crashes: [], clearedAtMs: 0};
	}

	#put(suspect: Suspect): Suspect {
		this.#delete(suspect.fingerprint);
		this.#suspects.set(suspect.fingerprint, suspect);
		this.#blamedCount += suspect.crashes.length > 0 ? 1 : 0;
		if (this.#suspects.size > this.#settings.maximumSuspects) {
			this.#dropForgotten();
			this.#dropLeastSuspicious();
		}

		return suspect;
	}

	#delete(fingerprint: Fingerprint): void {
		const wasBlamed = (this.#suspects.get(fingerprint)?.crashes.length ?? 0) > 0;
		this.#blamedCount -= wasBlamed ? 1 : 0;
		this.#suspects.delete(fingerprint);
	}

	#withTrialEnded(suspect: Suspect): Suspect {
		const {trial} = suspect;
		if (trial?.instance !== this.#instance) {
			return suspect;
		}

		return {...suspect, trial: {...trial, untilMs: Math.min(trial.untilMs, this.#nowMs())}};
	}

	#dropForgotten(): void {
		const oldestMs = this.#nowMs() - this.#settings.suspectRetentionMs;
		for (const suspect of this.#suspects.values()) {
			if (lastChangeMs(suspect) < oldestMs) {
				this.#delete(suspect.fingerprint);
			}
		}
	}

	#dropLeastSuspicious(): void {
		const excess = this.#suspects.size - this.#settings.maximumSuspects;
		const sorted = [...this.#suspects.values()].sort(compareSuspicion);
		for (const suspect of sorted.slice(0, Math.max(0, excess))) {
			this.#delete(suspect.fingerprint);
		}
	}
}
