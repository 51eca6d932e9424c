/** Tracks instances that neither answer nor are reached by others, so that others in the order are asked meanwhile, and checks when they answer again. */
import type {LimiterEnvironment} from './limiter-environment.js';
import type {CallTiming, MessageCalls} from './message-calls.js';

/** Of the checks of an instance that was asked in vain, until it answers or counts as lost. */
const checkTiming: CallTiming = {intervalMs: 100, attempts: 1, isDirect: true};
/** Of the first check of an instance that has come to count as lost. */
const suspectTiming: CallTiming = {intervalMs: 40, attempts: 2, searchAfterMs: 40};
/** Of a later check of it, and of one that includes a search for a relay. */
const recheckTiming: CallTiming = {intervalMs: 100, attempts: 1, isDirect: true};
const searchedRecheckTiming: CallTiming = {intervalMs: 100, attempts: 1, searchAfterMs: 50};
/** Time between two later checks, whatever the number of instances that count as lost. */
const recheckMs = 500;
/** Number of later checks of which one includes a search. */
const rechecksPerSearch = 8;
/** Time for which an instance that isn't heard otherwise counts as reachable after a message from it. */
const heardMs = 1000;

export class SilentHosts {
	readonly #environment: LimiterEnvironment;
	readonly #calls: MessageCalls;
	readonly #silent = new Set<string>();
	/** Instances that can't decide yet, with the time until which they aren't asked. */
	readonly #unready = new Map<string, number>();
	/** Instances that count as lost, with the time at which they were last heard since. */
	readonly #suspected = new Map<string, number>();
	/** Those of them that were checked; the next one to check again comes first. */
	readonly #checked = new Set<string>();
	#recheckAtMs = 0;
	#rechecks = 0;

	constructor(environment: LimiterEnvironment, calls: MessageCalls) {
		this.#environment = environment;
		this.#calls = calls;
	}

	isSilent(host: string): boolean {
		return this.#silent.has(host);
	}

	/** Whether an instance is silent or can't decide yet. */
	has(host: string): boolean {
		return this.#silent.has(host) || (this.#unready.get(host) ?? 0) > this.#environment.clock.monotonicMs();
	}

	/** The other instances that are reached, directly or through a relay. */
	get reachable(): readonly string[] {
		const {others, suspected} = this.#environment.fleet();
		const oldestMs = this.#environment.clock.monotonicMs() - heardMs;
		return [
			...others.filter(host => !this.#silent.has(host)),
			...suspected.filter(host => !this.#silent.has(host) && (this.#suspected.get(host) ?? Number.NEGATIVE_INFINITY) >= oldestMs),
		];
	}

	markUnready(host: string, durationMs: number): void {
		const nowMs = this.#environment.clock.monotonicMs();
		for (const [other, untilMs] of this.#unready) {
			if (untilMs <= nowMs) {
				this.#unready.delete(other);
			}
		}

		this.#unready.set(host, nowMs + durationMs);
	}

	markSilent(host: string): void {
		if (this.#suspected.has(host)) {
			this.#checked.add(host);
			this.#silent.add(host);
		} else if (!this.#silent.has(host)) {
			this.#silent.add(host);
			this.#check(host);
		}
	}

	heardFrom(host: string): void {
		this.#silent.delete(host);
		if (this.#suspected.has(host)) {
			this.#suspected.set(host, this.#environment.clock.monotonicMs());
		}
	}

	/**
	 * Checks instances that have come to count as lost, so that no request waits for one that has ended, and now and then again.
	 *
	 * @param heads - instances that would be asked next
	 */
	sweep(heads: readonly string[]): void {
		const {suspected} = this.#environment.fleet();
		if (suspected.length === 0 && this.#suspected.size === 0) {
			return;
		}

		this.#updateSuspected(suspected);
		const added = heads.filter(host => this.#suspected.has(host) && !this.#checked.has(host));
		for (const host of added) {
			this.#checked.add(host);
			this.#checkSuspected(host, suspectTiming);
		}

		this.#recheck();
	}

	#updateSuspected(suspected: readonly string[]): void {
		const current = new Set(suspected);
		for (const host of this.#suspected.keys()) {
			if (!current.has(host)) {
				this.#suspected.delete(host);
				this.#checked.delete(host);
				this.#silent.delete(host);
			}
		}

		for (const host of suspected.filter(host => !this.#suspected.has(host))) {
			this.#suspected.set(host, Number.NEGATIVE_INFINITY);
			if (this.#silent.has(host)) {
				this.#checked.add(host);
			}
		}
	}

	/** Checks again the silent instance among those that count as lost whose last check is the oldest. */
	#recheck(): void {
		const nowMs = this.#environment.clock.monotonicMs();
		const host = nowMs < this.#recheckAtMs ? undefined : [...this.#checked].find(host => this.#silent.has(host));
		if (host !== undefined) {
			this.#checked.delete(host);
			this.#checked.add(host);
			this.#recheckAtMs = nowMs + recheckMs;
			this.#rechecks += 1;
			this.#checkSuspected(host, this.#rechecks % rechecksPerSearch === 0 ? searchedRecheckTiming : recheckTiming);
		}
	}

	#checkSuspected(host: string, timing: CallTiming): void {
		this.#calls.call(host, sequence => ({type: 'limit-check', sequence}), timing, reply => {
			if (reply === undefined && this.#suspected.has(host)) {
				this.#silent.add(host);
			}
		});
	}

	/** Checks an instance that counts as live until it answers. */
	#check(host: string): void {
		const {others, suspected} = this.#environment.fleet();
		if (!others.includes(host)) {
			if (!suspected.includes(host)) {
				this.#silent.delete(host);
			}

			return;
		}

		this.#calls.call(host, sequence => ({type: 'limit-check', sequence}), checkTiming, reply => {
			if (reply === undefined && this.#silent.has(host)) {
				this.#check(host);
			}
		});
	}
}
