/** Sends messages that are answered, and repeats them while no answer comes, as datagrams may be lost. */
import type {LimitMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';

export type CallTiming = {
	/** Time until the message is sent again. */
	readonly intervalMs: number;
	/** Number of times that it is sent. */
	readonly attempts: number;
};

type MakeMessage = (sequence: number) => LimitMessage;

type PendingCall = {
	readonly host: string;
	readonly done: (reply: LimitMessage | undefined) => void;
	cancelTimer: (() => void) | undefined;
	/** Further attempts, as the receiver has reported that it is working on the answer. */
	addedAttempts: number;
};

/** Bounds the time for which an instance is waited for that reports that it works on the answer. */
const maximumAddedAttempts = 5;
/** Start values of sequence numbers are random, so that a restarted process doesn't take in answers to its predecessor. */
const sequenceRange = 1_000_000_000;

export class MessageCalls {
	readonly #environment: Pick<LimiterEnvironment, 'send' | 'schedule'>;
	readonly #pending = new Map<number, PendingCall>();
	#sequence: number;

	constructor(environment: Pick<LimiterEnvironment, 'send' | 'schedule' | 'random'>) {
		this.#environment = environment;
		this.#sequence = environment.random.nextInteger(sequenceRange);
	}

	/** @param done - called once, with undefined if no answer comes */
	call(host: string, make: MakeMessage, timing: CallTiming, done: PendingCall['done']): void {
		this.#sequence += 1;
		const pending: PendingCall = {
			host, done, cancelTimer: undefined, addedAttempts: 0,
		};
		this.#pending.set(this.#sequence, pending);
		this.#attempt(this.#sequence, pending, make(this.#sequence), timing);
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
			this.#pending.delete(sequence);
			pending.cancelTimer?.();
			pending.done(reply);
		}
	}

	/** Goes on waiting for an answer on which the receiver works. */
	prolong(sequence: number, from: string): void {
		const pending = this.#pending.get(sequence);
		if (pending?.host === from && pending.addedAttempts < maximumAddedAttempts) {
			pending.addedAttempts += 1;
		}
	}

	#attempt(sequence: number, pending: PendingCall, message: LimitMessage, {intervalMs, attempts}: CallTiming): void {
		if (attempts + pending.addedAttempts <= 0) {
			this.#pending.delete(sequence);
			pending.done(undefined);
			return;
		}

		pending.cancelTimer = this.#environment.schedule(intervalMs, () => {
			this.#attempt(sequence, pending, message, {intervalMs, attempts: attempts - 1});
		});
		this.#environment.send(message, pending.host);
	}
}
