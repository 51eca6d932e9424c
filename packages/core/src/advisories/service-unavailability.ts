/** What callers are told where no upstream of a service takes a request of this instance now: why, and when one may. */
import type {Availability} from './availability.js';

/** Why one upstream takes no request now. */
export type UpstreamUnavailability =
	| Exclude<Availability, {readonly type: 'available'}>
	/** It advertises a limit, and others use what it bears, or this instance has just done. */
	| {readonly type: 'rate-limited'}
	/** It is cold, and the same holds. */
	| {readonly type: 'warming-up'};

export type ServiceUnavailableReason = 'upstreams-leaving' | 'upstreams-backing-off' | 'rate-limited' | 'warming-up';

export type ServiceUnavailability = {
	readonly reason: ServiceUnavailableReason;
	/** Until the first of them takes requests; nothing where that isn't known. */
	readonly availableInMs?: number;
};

/** Of several reasons the one counts that may end first. */
const mostHopeful: ReadonlyArray<UpstreamUnavailability['type']> = ['rate-limited', 'warming-up', 'backing-off', 'leaving'];

/** @param heldBack - of all upstreams of a service, one at least */
export function summarizeUnavailability(heldBack: readonly UpstreamUnavailability[]): ServiceUnavailability {
	const type = mostHopeful.find(candidate => heldBack.some(upstream => upstream.type === candidate)) ?? 'leaving';
	switch (type) {
		case 'rate-limited':
		case 'warming-up': {
			return {reason: type};
		}

		case 'backing-off': {
			const remainingMs = heldBack.flatMap(upstream => upstream.type === 'backing-off' ? [upstream.remainingMs] : []);
			return {reason: 'upstreams-backing-off', availableInMs: Math.min(...remainingMs)};
		}

		case 'leaving': {
			return {reason: 'upstreams-leaving'};
		}
	}
}
