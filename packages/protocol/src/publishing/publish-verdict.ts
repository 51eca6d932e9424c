/** What became of a change that an operator published. */
import {type ValidationFault} from '@cairnbank/core';
import {type AcceptedChange, type ChangeKey} from '@cairnbank/core/configuration';
import {type LogError} from '../log/log-error.js';

export type PublishVerdict =
	/** In force on every daemon within seconds, and for good. */
	| {readonly type: 'accepted'; readonly offset: number}
	/** The configuration already says so; `offset` is the last accepted change. */
	| {readonly type: 'unchanged'; readonly offset: number}
	/** Another change of the same part came first; this one has no effect. */
	| {readonly type: 'conflict'; readonly key: ChangeKey; readonly with: AcceptedChange}
	/** Refused by every reader; it has no effect. */
	| {readonly type: 'invalid'; readonly faults: readonly ValidationFault[]}
	/** The log could not be read or reached, and nothing was appended: the change has no effect. */
	| {readonly type: 'not-published'; readonly error: LogError}
	/** The log no longer keeps what is needed to judge a change, and nothing was appended. */
	| {readonly type: 'missing-records'; readonly fromOffset: number; readonly earliestOffset: number}
	/** It may have been appended and may be in force. Publishing it again is harmless. */
	| {readonly type: 'unknown'; readonly error: LogError};
