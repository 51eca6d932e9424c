/** What the admin port asks of the other features; `wire.ts` joins them. */
import type {Address, UpstreamId} from '@cairnbank/core';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {MemberStatus, UpstreamStatus} from '@cairnbank/protocol/operators';

/** How one upstream stands in the eyes of this instance. */
export type UpstreamObservation = Pick<UpstreamStatus, 'state' | 'inFlight' | 'utilizationRatio' | 'reportAgeMs'>;

export type StatusSources = {
	configuration(): ConfigurationState;
	observeUpstream(id: UpstreamId): UpstreamObservation;
	members(): readonly MemberStatus[];
	/** Where callers reach this instance; undefined until its port is open. */
	callersAddress(): Address | undefined;
};
