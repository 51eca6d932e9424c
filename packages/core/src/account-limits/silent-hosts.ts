/** Tracks instances that don't answer, so that others in the order are asked meanwhile, and checks when they answer again. */
import type {LimiterEnvironment} from './limiter-environment.js';
import type {MessageCalls} from './message-calls.js';

const checkTiming = {intervalMs: 100, attempts: 1};

export class SilentHosts {
	readonly #environment: LimiterEnvironment;
	readonly #calls: MessageCalls;
	readonly #silent = new Set<string>();
	/** Instances that can't decide yet, with the time until which they aren't asked. */
	readonly #unready = new Map<string, number>();

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
		if (!this.#silent.has(host)) {
			this.#silent.add(host);
			this.#check(host);
		}
	}

	heardFrom(host: string): void {
		this.#silent.delete(host);
	}

	#check(host: string): void {
		if (!this.#environment.fleet().others.includes(host)) {
			this.#silent.delete(host);
		}

		if (this.#silent.has(host)) {
			this.#calls.call(host, sequence => ({type: 'limit-check', sequence}), checkTiming, reply => {
				if (reply === undefined) {
					this.#check(host);
				}
			});
		}
	}
}
