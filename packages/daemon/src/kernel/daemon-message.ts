/** What tasks tell each other. */
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {IncarnationId} from '@cairnbank/core';
import type {Suspect} from '@cairnbank/core/poison';
import type {MembershipMessage} from '../features/membership/membership-messages.js';

export type DaemonMessage =
	/** A newer configuration is in force from now on. */
	| {readonly type: 'configuration-in-force'; readonly configuration: ConfigurationState}
	| MembershipMessage
	/** What this instance found out about suspects, to be told to all peers at once. */
	| {readonly type: 'suspects-changed'; readonly suspects: readonly Suspect[]}
	/** What peers told about suspects. */
	| {readonly type: 'suspects-received'; readonly suspects: readonly Suspect[]}
	/** An operator asks for a graceful stop of this instance. */
	| {readonly type: 'stop-requested'}
	/** This process holds the at-most-once tables of these stopped processes, to be told to all peers. */
	| {readonly type: 'tables-taken-over'; readonly owners: readonly IncarnationId[]}
	/** A graceful stop has begun. */
	| {readonly type: 'leaving'};

export type DaemonMessageOf<Type extends DaemonMessage['type']> = Extract<DaemonMessage, {type: Type}>;
