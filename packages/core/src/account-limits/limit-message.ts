/** Messages between instances about the limits of accounts. Plain data. */
import type {ClientAccountId} from '../model/ids.js';

/** Decision on a batch of requests. */
export type LimitAnswer = {
	/** Number of requests that may run. */
	readonly granted: number;
	/** Time until the next token is there; until then asking again is in vain. */
	readonly tokenInMs: number;
	/** Time after which a token is there for the callers refused. */
	readonly retryAfterMs: number;
	/** True if the account is known to be over its limit. Otherwise the one that decides reaches only a part of the fleet, or has not seen the account ask for too much. */
	readonly isCertain: boolean;
};

/** A message that reaches its receiver directly or through a relay. */
export type RelayableMessage =
	/** Asks for tokens. Repeated with the same sequence number if no answer comes. */
	| {readonly type: 'limit-ask'; readonly account: ClientAccountId; readonly sequence: number; readonly count: number}
	/** `answer` is undefined if the receiver can't decide; the next instance in the order is asked then. */
	| {readonly type: 'limit-answer'; readonly sequence: number; readonly answer: LimitAnswer | undefined}
	/** The receiver of a repeated question is finding out who decides. */
	| {readonly type: 'limit-working'; readonly sequence: number}
	/** Asks an instance that comes later in the order to stop deciding, and for the tokens that it has left. */
	| {readonly type: 'limit-take-over'; readonly account: ClientAccountId; readonly sequence: number}
	/** `level` is undefined if the instance has not decided on the account. */
	| {readonly type: 'limit-level'; readonly sequence: number; readonly level: number | undefined}
	/** Hands the remaining tokens over to the next instance in the order, as the sender leaves. Answered like a check. */
	| {readonly type: 'limit-hand-over'; readonly account: ClientAccountId; readonly sequence: number; readonly level: number}
	/** Asks whether the receiver is reachable. */
	| {readonly type: 'limit-check'; readonly sequence: number}
	| {readonly type: 'limit-checked'; readonly sequence: number}
	/** Returns tokens of requests that did not run. */
	| {readonly type: 'limit-return'; readonly account: ClientAccountId; readonly count: number};

/** Messages by which instances that can't reach each other find a third one that reaches both, and use it. */
export type RelayMessage =
	/** Asks which of these instances the receiver reaches. */
	| {readonly type: 'limit-probe'; readonly sequence: number; readonly hosts: readonly string[]}
	| {readonly type: 'limit-probed'; readonly sequence: number; readonly reached: readonly string[]}
	/** The receiver passes the message on to `to`. */
	| {readonly type: 'limit-relay'; readonly to: string; readonly message: RelayableMessage}
	/** A message of `origin` that the sender passes on. */
	| {readonly type: 'limit-relayed'; readonly origin: string; readonly message: RelayableMessage};

export type LimitMessage = RelayableMessage | RelayMessage;
