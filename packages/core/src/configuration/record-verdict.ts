/** The result of applying one record to the configuration. */
import {type ValidationFault} from '../model/validation-fault.js';
import {type AcceptedChange} from './accepted-change.js';
import {type ChangeKey} from './change-key.js';

/** The result of a change when its record was first applied. */
export type ChangeVerdict =
	| {readonly type: 'accepted'}
	/** The change is already in force. */
	| {readonly type: 'unchanged'}
	/** Another change set the same key after the offset through which the author had read. */
	| {readonly type: 'conflict'; readonly key: ChangeKey; readonly with: AcceptedChange}
	| {readonly type: 'invalid'; readonly faults: readonly ValidationFault[]};

export type RecordVerdict =
	| ChangeVerdict
	/** A record with this id was applied before. */
	| {readonly type: 'duplicate'; readonly firstOffset: number; readonly first: ChangeVerdict['type']}
	/**
	A snapshot that the reader did not need. `agrees` is whether its hash matches the reader's state;
	it is absent if the snapshot is of another offset.
	*/
	| {readonly type: 'snapshot-seen'; readonly throughOffset: number; readonly agrees?: boolean}
	/** The reader replaced its state by this snapshot, because records before it are missing. */
	| {readonly type: 'snapshot-adopted'; readonly throughOffset: number}
	/** The state already covers this offset. */
	| {readonly type: 'stale'}
	/** Records before this one are missing. */
	| {readonly type: 'gap'; readonly expectedOffset: number};
