/** Asks the first instance in the order of an account that answers for tokens. */
import type {ClientAccountId} from '../model/ids.js';
import type {LimitAnswer} from './limit-message.js';
import type {CallTiming, MessageCalls} from './message-calls.js';
import type {SilentHosts} from './silent-hosts.js';

/** Of questions to the ones after the first, which may have to find out first whether that one has ended. */
const furtherTiming: CallTiming = {intervalMs: 250, attempts: 2, searchAfterMs: 300};
/** Of checks whether an instance answers. */
const checkTiming: CallTiming = {intervalMs: 40, attempts: 2, searchAfterMs: 40};
/** Time for which an instance that can't decide yet isn't asked again. */
const unreadyMs = 300;
/** Instances that are checked at a time once the first in the order doesn't answer: in a division many of the next ones don't. */
const checkedAtOnce = 8;

export type Question = {
	readonly account: ClientAccountId;
	readonly count: number;
	/** Instances in the order in which they are asked. */
	readonly candidates: readonly string[];
	readonly timing: CallTiming;
};

/** Answer of the instance that decides. */
export type OwnerAnswer = {readonly host: string; readonly answer: LimitAnswer};

type OnAnswer = (answer: OwnerAnswer | undefined) => void;

export class OwnerSearch {
	readonly #calls: MessageCalls;
	readonly #silent: SilentHosts;

	constructor(calls: MessageCalls, silent: SilentHosts) {
		this.#calls = calls;
		this.#silent = silent;
	}

	/** Asks the first candidate that isn't known to be silent, and the next ones if it doesn't answer. @param done - called with undefined if none decides */
	ask(question: Question, done: OnAnswer): void {
		const {account, count, candidates} = question;
		const host = candidates.find(candidate => !this.#silent.has(candidate));
		if (host === undefined) {
			done(undefined);
			return;
		}

		this.#calls.call(host, sequence => ({
			type: 'limit-ask', account, sequence, count,
		}), question.timing, reply => {
			if (reply?.type === 'limit-answer' && reply.answer !== undefined) {
				done({host, answer: reply.answer});
				return;
			}

			const next = {...question, candidates: candidates.slice(candidates.indexOf(host) + 1), timing: furtherTiming};
			if (reply === undefined) {
				this.#silent.markSilent(host);
				this.#checkFirst(next, done);
			} else {
				this.#silent.markUnready(host, unreadyMs);
				this.ask(next, done);
			}
		});
	}

	/** Finds out which of the first candidates answer before it asks one of them. */
	#checkFirst(question: Question, done: OnAnswer): void {
		const checked = question.candidates.filter(host => !this.#silent.has(host)).slice(0, checkedAtOnce);
		if (checked.length === 0) {
			this.ask(question, done);
			return;
		}

		this.#calls.callAll(checked, sequence => ({type: 'limit-check', sequence}), checkTiming, replies => {
			const silent = checked.filter((_host, index) => replies[index] === undefined);
			for (const host of silent) {
				this.#silent.markSilent(host);
			}

			if (silent.length < checked.length) {
				this.ask(question, done);
			} else {
				this.#checkFirst(question, done);
			}
		});
	}
}
