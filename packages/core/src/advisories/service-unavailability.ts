/** Determines the reason and the retry time that callers receive if no upstream of a service accepts requests from this instance now. */
import type {Availability} from './availability.js';

/** Reason that one upstream gets no request now. */
export type UpstreamUnavailability =
	| Exclude<Availability, {readonly type: 'available'}>
	/** It advertises a rate limit, and other instances use it up or this instance has just sent a request. */
	| {readonly type: 'rate-limited'}
	/** It is cold, and the rate that it can handle is used up in the same way. */
	| {readonly type: 'warming-up'}
	/** It could not be reached, and is checked again after this time. */
	| {readonly type: 'unreachable'; readonly remainingMs: number};

export type ServiceUnavailableReason = 'upstreams-leaving' | 'upstreams-backing-off' | 'upstreams-unreachable' | 'rate-limited' | 'warming-up';

export type ServiceUnavailability = {
	readonly reason: ServiceUnavailableReason;
	/** Time until the first upstream accepts requests again; absent if unknown. */
	readonly availableInMs?: number;
};

/** Reasons in the order in which they are expected to end; the first that applies to any upstream is reported. */
const typesByExpectedEnd: ReadonlyArray<UpstreamUnavailability['type']> = ['rate-limited', 'warming-up', 'unreachable', 'backing-off', 'leaving'];

/**
 * Combines the reasons of a service's upstreams into the one that is expected to end first.
 *
 * @param unavailabilities - reason for each upstream of a service that gets no request; at least one
 */
export function summarizeUnavailability(unavailabilities: readonly UpstreamUnavailability[]): ServiceUnavailability {
	const type = typesByExpectedEnd.find(candidate => unavailabilities.some(upstream => upstream.type === candidate)) ?? 'leaving';
	switch (type) {
		case 'rate-limited':
		case 'warming-up': {
			return {reason: type};
		}

		case 'unreachable': {
			return {reason: 'upstreams-unreachable', availableInMs: leastRemainingMs(unavailabilities, type)};
		}

		case 'backing-off': {
			return {reason: 'upstreams-backing-off', availableInMs: leastRemainingMs(unavailabilities, type)};
		}

		case 'leaving': {
			return {reason: 'upstreams-leaving'};
		}
	}
}

function leastRemainingMs(unavailabilities: readonly UpstreamUnavailability[], type: 'unreachable' | 'backing-off'): number {
	return Math.min(...unavailabilities.flatMap(upstream => upstream.type === type ? [upstream.remainingMs] : []));
}
