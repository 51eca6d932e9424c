/** Narrows a service's upstreams to those that may take one request. */
import type {AvailabilityZoneId, UpstreamId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {ChooseRequest} from './choose-request.js';
import type {NoUpstreamReason} from './choice.js';
import {slowStartShare} from './slow-start.js';
import type {UpstreamState} from './upstream-state.js';

export type CandidateFilterOptions = {
	readonly slowStartMs: number;
	/** Upstreams there go first while they have room. */
	readonly preferredAvailabilityZone: AvailabilityZoneId | undefined;
	readonly random: RandomSource;
	/** Whether the upstream is believed to have a free slot. */
	readonly hasRoom: (state: UpstreamState, nowMs: number) => boolean;
};

/** Enough to choose from; a larger service costs no more. */
const maximumCandidates = 64;

/** Keeps its list between calls, so that a choice allocates nothing. */
export class CandidateFilter {
	readonly candidates: UpstreamState[] = [];
	readonly #options: CandidateFilterOptions;
	readonly #ramping: UpstreamState[] = [];

	constructor(options: CandidateFilterOptions) {
		this.#options = options;
	}

	/** Fills `candidates`; the reason where there are none. */
	fill(states: readonly UpstreamState[], request: ChooseRequest): NoUpstreamReason | undefined {
		this.candidates.length = 0;
		this.#ramping.length = 0;
		const isAnyAtLimit = this.#scan(states, request);
		if (this.candidates.length === 0) {
			this.candidates.push(...this.#ramping);
		}

		this.#preferOwnAvailabilityZone(request.nowMs);
		if (this.candidates.length > 0) {
			return undefined;
		}

		return isAnyAtLimit ? 'at-limit' : 'no-upstream';
	}

	/** Looks at all upstreams, or from a random place at as many as give enough candidates. */
	#scan(states: readonly UpstreamState[], {excluded, nowMs}: ChooseRequest): boolean {
		let isAnyAtLimit = false;
		let index = states.length > maximumCandidates ? this.#options.random.nextInteger(states.length) : 0;
		for (let seen = 0; seen < states.length && this.candidates.length < maximumCandidates; seen++) {
			const state = states[index]!;
			index = index + 1 === states.length ? 0 : index + 1;
			if (!isEligible(state, excluded, nowMs)) {
				continue;
			}

			if (state.limit.admits(state.inFlight, nowMs)) {
				this.#add(state, nowMs);
			} else {
				isAnyAtLimit = true;
			}
		}

		return isAnyAtLimit;
	}

	#add(state: UpstreamState, nowMs: number): void {
		const {slowStartMs, random} = this.#options;
		const share = slowStartShare(state, slowStartMs, nowMs);
		const isIn = share === 1 || random.next() < share;
		(isIn ? this.candidates : this.#ramping).push(state);
	}

	#preferOwnAvailabilityZone(nowMs: number): void {
		const {preferredAvailabilityZone, hasRoom} = this.#options;
		if (preferredAvailabilityZone === undefined) {
			return;
		}

		const near = this.candidates.filter(({upstream}) => upstream.availabilityZone === preferredAvailabilityZone);
		const withRoom = near.filter(state => hasRoom(state, nowMs));
		if (withRoom.length > 0) {
			this.candidates.length = 0;
			this.candidates.push(...withRoom);
		}
	}
}

function isEligible(state: UpstreamState, excluded: ReadonlySet<UpstreamId>, nowMs: number): boolean {
	return state.isAvailable(nowMs) && (excluded.size === 0 || !excluded.has(state.upstream.id));
}
