/** The result of publishing an operator's change. */
import {type ValidationFault} from '@cairnbank/core';
import {type AcceptedChange, type ChangeKey} from '@cairnbank/core/configuration';
import {type LogError} from '../log/log-error.js';

export type PublishVerdict =
	/** Accepted for good; in force on every daemon within seconds. */
	| {readonly type: 'accepted'; readonly offset: number}
	/** The change is already in force; `offset` is that of the last accepted change. */
	| {readonly type: 'unchanged'; readonly offset: number}
	/** Another change of the same part was accepted first; this one has no effect. */
	| {readonly type: 'conflict'; readonly key: ChangeKey; readonly with: AcceptedChange}
	/** Every reader rejects the change; it has no effect. */
	| {readonly type: 'invalid'; readonly faults: readonly ValidationFault[]}
	/** The log could not be read or reached, and nothing was appended: the change has no effect. */
	| {readonly type: 'not-published'; readonly error: LogError}
	/** The log no longer has the records needed to evaluate the change, and nothing was appended. */
	| {readonly type: 'missing-records'; readonly fromOffset: number; readonly earliestOffset: number}
	/** The change may have been appended and may be in force. Publishing it again has no further effect. */
	| {readonly type: 'unknown'; readonly error: LogError};
