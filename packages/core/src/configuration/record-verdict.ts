/** What the fold made of one record. */
import {type ValidationFault} from '../model/validation-fault.js';
import {type AcceptedChange} from './accepted-change.js';
import {type ChangeKey} from './change-key.js';

/** What a change did when it was first folded. */
export type ChangeVerdict =
	| {readonly type: 'accepted'}
	/** The configuration already says what the change asks for. */
	| {readonly type: 'unchanged'}
	/** Another change set the same key after the offset that the author saw. */
	| {readonly type: 'conflict'; readonly key: ChangeKey; readonly with: AcceptedChange}
	| {readonly type: 'invalid'; readonly faults: readonly ValidationFault[]};

export type RecordVerdict =
	| ChangeVerdict
	/** A record with this id was folded before. */
	| {readonly type: 'duplicate'; readonly firstOffset: number; readonly first: ChangeVerdict['type']}
	/** A snapshot that nothing was needed from; `agrees` is absent where it speaks of an older offset. */
	| {readonly type: 'snapshot-seen'; readonly throughOffset: number; readonly agrees?: boolean}
	/** A snapshot that stood in for records that this reader cannot have. */
	| {readonly type: 'snapshot-adopted'; readonly throughOffset: number}
	/** The record was folded already. */
	| {readonly type: 'stale'}
	/** Records before this one are missing. */
	| {readonly type: 'gap'; readonly expectedOffset: number};
