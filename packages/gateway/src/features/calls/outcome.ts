/** Outcomes of a call; each request ends with exactly one of them. */
import type {AuthenticationFault} from '@cairnbank/core/accounts';
import type {ServiceUnavailableReason} from '@cairnbank/core/advisories';
import type {RefusalReason} from '@cairnbank/core/overload';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';

/** Reason that no upstream may get a request. */
export type NoUpstreamReason =
	| 'no-upstream'
	/** The service has upstreams in availability zones that operators have emptied, and no other was found. */
	| 'zones-emptied'
	/** None of the upstreams takes requests from this instance now, going by their own advisories and limits. */
	| ServiceUnavailableReason;

export type NoUpstream = {
	readonly reason: NoUpstreamReason;
	/** Time until an upstream takes requests again; undefined if unknown. */
	readonly availableInMs?: number;
};

export type NotRunReason =
	| 'no-configuration' | NoUpstreamReason
	/** The request may run only once, its upstreams reset connections when they are full, and none is known to have room. */
	| 'no-known-room'
	| 'refused-by-upstreams' | 'wrong-upstream' | 'not-connected' | 'no-relay' | 'never-sent' | RefusalReason | 'suspected-poison'
	/** The key is unknown, but may be newer than the known configuration. */
	| 'unconfirmed-key'
	/** Accounts were configured after the request had been read without one. */
	| 'accounts-introduced'
	/** The instance stops and could not wait for the answer until the deadline of the request. */
	| 'leaving'
	/** The answers of other requests fill the memory set aside for them. */
	| 'answers-held'
	/** The bodies of other requests fill the memory set aside for them. */
	| 'bodies-held'
	/** What other callers have sent fills the memory of the instance. */
	| 'requests-held'
	/** As many requests run as the instance has descriptors for. */
	| 'too-many-requests'
	/** No instance was reached that knows how much of its limit the account has used. */
	| 'account-use-unknown';

export type UnknownReason =
	| 'broken' | 'malformed' | 'timed-out' | 'unsigned' | 'unproven-refusal'
	/** The answer was the longest while answers filled the memory set aside for them. */
	| 'answer-outgrown'
	/** A fault of this program ended the call; attempts that were sent may have run. */
	| 'internal-error';

export type BadRequestReason =
	/** The body had not arrived whole by the deadline; the request has not run and will not run. */
	| 'body-late'
	| 'no-route' | 'no-request-id' | 'body-too-large' | 'header-too-large' | 'bad-deadline' | 'unknown-expectation';

/** `key-removed`: the key was taken away while the request waited. */
export type UnauthenticatedReason = AuthenticationFault | 'key-removed';

export type Outcome =
	/** The complete answer of an upstream. */
	| {readonly type: 'answered'; readonly answer: UpstreamAnswer}
	/** The request has not run and will not run. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs: number}
	/** The client account is over its rate limit. The request has not run and will not run. */
	| {readonly type: 'limited'; readonly retryAfterMs: number}
	/** The request may have run. */
	| {readonly type: 'unknown'; readonly reason: UnknownReason}
	/** The route's timeout or the caller's deadline has passed; the request may have run. */
	| {readonly type: 'timed-out'}
	| {readonly type: 'bad-request'; readonly reason: BadRequestReason}
	/** The request proves no client account; it has not run and will not run. */
	| {readonly type: 'unauthenticated'; readonly reason: UnauthenticatedReason}
	/** The caller has disconnected. */
	| {readonly type: 'abandoned'};
