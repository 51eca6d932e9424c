/** What a caller is told; each request ends in exactly one of these. */
import type {ServiceUnavailableReason} from '@cairnbank/core/advisories';
import type {UpstreamAnswer} from '../upstreams/exchange.js';

/** Why there is no upstream to which a request may be sent. */
export type NoUpstreamReason =
	| 'no-upstream'
	/** Operators have emptied the availability zones that have any. */
	| 'zones-emptied'
	/** All of them take nothing from this instance now, by what they say of themselves. */
	| ServiceUnavailableReason;

export type NoUpstream = {
	readonly reason: NoUpstreamReason;
	/** Until one takes requests again; nothing where that isn't known. */
	readonly availableInMs?: number;
};

export type NotRunReason =
	| 'no-configuration' | NoUpstreamReason | 'refused-by-upstreams' | 'wrong-upstream' | 'not-connected' | 'never-sent' | 'too-busy' | 'suspected-poison';

export type UnknownReason = 'broken' | 'malformed' | 'timed-out' | 'unsigned' | 'unproven-refusal';

export type BadRequestReason = 'no-route' | 'no-request-id' | 'body-too-large' | 'header-too-large' | 'bad-deadline';

export type Outcome =
	/** An upstream's own answer, whole. */
	| {readonly type: 'answered'; readonly answer: UpstreamAnswer}
	/** Neither has it run nor will it. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs: number}
	/** It may have run. */
	| {readonly type: 'unknown'; readonly reason: UnknownReason}
	/** The route's timeout or the caller's deadline has passed; it may have run. */
	| {readonly type: 'timed-out'}
	| {readonly type: 'bad-request'; readonly reason: BadRequestReason}
	/** The caller has gone. */
	| {readonly type: 'abandoned'};
