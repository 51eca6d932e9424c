/** Messages that tasks exchange through the message bus. */
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {IncarnationId} from '@cairnbank/core';
import type {Suspect} from '@cairnbank/core/poison';
import type {MembershipMessage} from '../features/membership/membership-messages.js';

export type DaemonMessage =
	/** A newer configuration is now in force. */
	| {readonly type: 'configuration-in-force'; readonly configuration: ConfigurationState}
	| MembershipMessage
	/** This instance has new information about suspects, which is sent to all peers immediately. */
	| {readonly type: 'suspects-changed'; readonly suspects: readonly Suspect[]}
	/** Peers sent information about suspects. */
	| {readonly type: 'suspects-received'; readonly suspects: readonly Suspect[]}
	/** An operator requested a graceful stop of this instance. */
	| {readonly type: 'stop-requested'}
	/** This process now holds the at-most-once tables of these stopped processes, which is announced to all peers. */
	| {readonly type: 'tables-taken-over'; readonly owners: readonly IncarnationId[]}
	/** A graceful stop has begun. */
	| {readonly type: 'leaving'};

export type DaemonMessageOf<Type extends DaemonMessage['type']> = Extract<DaemonMessage, {type: Type}>;
