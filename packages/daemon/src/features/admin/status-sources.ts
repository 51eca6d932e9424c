/** Data that the admin port needs from other features; `wire.ts` connects them. */
import type {Address, UpstreamId} from '@cairnbank/core';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {MemberStatus, UpstreamStatus} from '@cairnbank/protocol/operators';

/** State of one upstream as this instance observes it. */
export type UpstreamObservation = Pick<UpstreamStatus, 'state' | 'inFlight' | 'utilizationRatio' | 'reportAgeMs'>;

export type StatusSources = {
	configuration(): ConfigurationState;
	observeUpstream(id: UpstreamId): UpstreamObservation;
	members(): readonly MemberStatus[];
	/** Address at which callers reach this instance; undefined until its caller port is open. */
	callersAddress(): Address | undefined;
};
