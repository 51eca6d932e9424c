/**
 * Sends messages that are answered, and repeats them while no answer comes, as datagrams may be lost. Where the receiver doesn't
 * answer, a relay to it is searched for.
 */
import type {LimitMessage, RelayableMessage, RelayMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import type {MessagePaths} from './message-paths.js';

export type CallTiming = {
	/** Time until the message is sent again. */
	readonly intervalMs: number;
	/** Number of times that it is sent. */
	readonly attempts: number;
	/** Time without an answer after which a relay is searched for; within all attempts. None is if undefined. */
	readonly searchAfterMs?: number;
	/** Whether the message is sent on the direct path only. */
	readonly isDirect?: boolean;
};

type CallMessage = RelayableMessage | Extract<RelayMessage, {type: 'limit-probe'}>;
type MakeMessage = (sequence: number) => CallMessage;

type PendingCall = {
	readonly host: string;
	readonly message: CallMessage;
	readonly timing: CallTiming;
	readonly done: (reply: LimitMessage | undefined) => void;
	attemptsLeft: number;
	cancelAttempt: (() => void) | undefined;
	cancelSearch: (() => void) | undefined;
	isSearching: boolean;
	/** Further attempts, as the receiver has reported that it is working on the answer. */
	addedAttempts: number;
};

export type CallParts = {
	readonly paths: MessagePaths;
	/** Searches for a relay to an instance. */
	readonly findRelay: (host: string, done: (isFound: boolean) => void) => void;
};

/** Bounds the time for which an instance is waited for that reports that it works on the answer. */
const maximumAddedAttempts = 5;
/** Start values of sequence numbers are random, so that a restarted process doesn't take in answers to its predecessor. */
const sequenceRange = 1_000_000_000;

export class MessageCalls {
	readonly #environment: Pick<LimiterEnvironment, 'send' | 'schedule'>;
	readonly #parts: CallParts;
	readonly #pending = new Map<number, PendingCall>();
	#sequence: number;

	constructor(environment: Pick<LimiterEnvironment, 'send' | 'schedule' | 'random'>, parts: CallParts) {
		this.#environment = environment;
		this.#parts = parts;
		this.#sequence = environment.random.nextInteger(sequenceRange);
	}

	/** @param done - called once, with undefined if no answer comes */
	call(host: string, make: MakeMessage, timing: CallTiming, done: PendingCall['done']): void {
		this.#sequence += 1;
		const sequence = this.#sequence;
		const pending: PendingCall = {
			host,
			message: make(sequence),
			timing,
			done,
			attemptsLeft: timing.attempts,
			cancelAttempt: undefined,
			cancelSearch: undefined,
			isSearching: false,
			addedAttempts: 0,
		};
		this.#pending.set(sequence, pending);
		if (timing.searchAfterMs !== undefined) {
			pending.cancelSearch = this.#environment.schedule(timing.searchAfterMs, () => {
				this.#search(sequence, pending);
			});
		}

		this.#attempt(sequence, pending);
	}

	/**
	 * Calls several instances at once.
	 *
	 * @param done - called once with the reply of each, in the order of `hosts`
	 */
	callAll(hosts: readonly string[], make: MakeMessage, timing: CallTiming, done: (replies: ReadonlyArray<LimitMessage | undefined>) => void): void {
		const replies: Array<LimitMessage | undefined> = hosts.map(() => undefined);
		let pending = hosts.length;
		if (pending === 0) {
			done(replies);
		}

		const finishOne = () => {
			pending -= 1;
			if (pending === 0) {
				done(replies);
			}
		};

		for (const [index, host] of hosts.entries()) {
			this.call(host, make, timing, reply => {
				replies[index] = reply;
				finishOne();
			});
		}
	}

	/** Takes in the answer to a call; one that comes late or from another host is ignored. */
	settle(sequence: number, from: string, reply: LimitMessage): void {
		const pending = this.#pending.get(sequence);
		if (pending?.host === from) {
			this.#finish(sequence, pending, reply);
		}
	}

	/** Goes on waiting for an answer on which the receiver works. */
	prolong(sequence: number, from: string): void {
		const pending = this.#pending.get(sequence);
		if (pending?.host === from && pending.addedAttempts < maximumAddedAttempts) {
			pending.addedAttempts += 1;
		}
	}

	#attempt(sequence: number, pending: PendingCall): void {
		const {timing: {intervalMs}} = pending;
		if (pending.attemptsLeft + pending.addedAttempts <= 0) {
			pending.cancelAttempt = undefined;
			if (!pending.isSearching) {
				this.#finish(sequence, pending, undefined);
			}

			return;
		}

		pending.attemptsLeft -= 1;
		pending.cancelAttempt = this.#environment.schedule(intervalMs, () => {
			this.#attempt(sequence, pending);
		});
		this.#send(pending);
	}

	#send({host, message, timing}: PendingCall): void {
		if (message.type === 'limit-probe') {
			this.#environment.send(message, host);
		} else if (timing.isDirect) {
			this.#parts.paths.sendVia(message, host, undefined);
		} else {
			this.#parts.paths.send(message, host);
		}
	}

	/** Searches for a relay, unless the receiver works on the answer, and then repeats the message through it. */
	#search(sequence: number, pending: PendingCall): void {
		if (pending.addedAttempts > 0) {
			return;
		}

		pending.isSearching = true;
		this.#parts.findRelay(pending.host, isFound => {
			pending.isSearching = false;
			if (this.#pending.get(sequence) !== pending) {
				return;
			}

			if (isFound) {
				pending.cancelAttempt?.();
				pending.attemptsLeft = pending.timing.attempts;
				this.#attempt(sequence, pending);
			} else if (pending.cancelAttempt === undefined) {
				this.#finish(sequence, pending, undefined);
			}
		});
	}

	#finish(sequence: number, pending: PendingCall, reply: LimitMessage | undefined): void {
		this.#pending.delete(sequence);
		pending.cancelAttempt?.();
		pending.cancelSearch?.();
		pending.done(reply);
	}
}
