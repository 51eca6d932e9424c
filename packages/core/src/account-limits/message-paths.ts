/** Sends messages to instances directly, or through a relay where this instance doesn't reach the receiver itself. */
import type {RelayableMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';

/** Time without use after which a relay is forgotten, so that the direct path is tried first. */
const unusedMs = 3000;
/** Interval at which the direct path to an instance with a relay is checked. */
const directCheckMs = 500;

type Relay = {
	readonly via: string;
	usedAtMs: number;
	checkedAtMs: number;
};

export class MessagePaths {
	readonly #environment: Pick<LimiterEnvironment, 'clock' | 'send'>;
	readonly #relays = new Map<string, Relay>();

	constructor(environment: Pick<LimiterEnvironment, 'clock' | 'send'>) {
		this.#environment = environment;
	}

	/** Whether an instance is reached through another one. */
	hasRelay(host: string): boolean {
		return this.#relays.has(host);
	}

	send(message: RelayableMessage, host: string): void {
		const relay = this.#relays.get(host);
		if (relay !== undefined) {
			relay.usedAtMs = this.#environment.clock.monotonicMs();
		}

		this.sendVia(message, host, relay?.via);
	}

	/** @param via - instance that passes the message on; undefined for the direct path */
	sendVia(message: RelayableMessage, host: string, via: string | undefined): void {
		if (via === undefined) {
			this.#environment.send(message, host);
		} else {
			this.#environment.send({type: 'limit-relay', to: host, message}, via);
		}
	}

	useRelay(host: string, via: string): void {
		const nowMs = this.#environment.clock.monotonicMs();
		this.#relays.set(host, {via, usedAtMs: nowMs, checkedAtMs: nowMs});
	}

	/** Sends directly again to an instance that has answered on that path. */
	useDirectPath(host: string): void {
		this.#relays.delete(host);
	}

	/** Forgets unused relays. @returns instances whose direct path is due to be checked */
	takeDueChecks(): readonly string[] {
		const nowMs = this.#environment.clock.monotonicMs();
		const due: string[] = [];
		for (const [host, relay] of this.#relays) {
			if (nowMs - relay.usedAtMs >= unusedMs) {
				this.#relays.delete(host);
			} else if (nowMs - relay.checkedAtMs >= directCheckMs) {
				relay.checkedAtMs = nowMs;
				due.push(host);
			}
		}

		return due;
	}
}
