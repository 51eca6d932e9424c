/** Filters a service's upstreams for those that may get a given request. */
import type {AvailabilityZoneId, UpstreamId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {ChooseRequest} from './choose-request.js';
import type {NoUpstreamReason} from './choice.js';
import {slowStartShare} from './slow-start.js';
import type {UpstreamState} from './upstream-state.js';

export type CandidateFilterOptions = {
	readonly slowStartMs: number;
	/** Upstreams in this availability zone are preferred while they have a free slot. */
	readonly preferredAvailabilityZone: AvailabilityZoneId | undefined;
	readonly random: RandomSource;
	/** Returns whether the upstream is estimated to have a free slot. */
	readonly hasFreeSlot: (state: UpstreamState, nowMs: number) => boolean;
};

/** Bounds the cost of a choice in a large service. */
const maximumCandidates = 64;

/** Reuses its lists between calls to avoid allocations for each request. */
export class CandidateFilter {
	readonly candidates: UpstreamState[] = [];
	readonly #options: CandidateFilterOptions;
	readonly #inSlowStart: UpstreamState[] = [];

	constructor(options: CandidateFilterOptions) {
		this.#options = options;
	}

	/** Fills `candidates`. Returns the reason if there are none. */
	fill(states: readonly UpstreamState[], request: ChooseRequest): NoUpstreamReason | undefined {
		this.candidates.length = 0;
		this.#inSlowStart.length = 0;
		const isAnyAtLimit = this.#scan(states, request);
		if (this.candidates.length === 0) {
			this.candidates.push(...this.#inSlowStart);
		}

		this.#preferOwnAvailabilityZone(request.nowMs);
		if (this.candidates.length > 0) {
			return undefined;
		}

		return isAnyAtLimit ? 'at-limit' : 'no-upstream';
	}

	/** Scans all upstreams; in a service with more than `maximumCandidates`, starts at a random index and stops once that many are found. */
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
		const isIncluded = share === 1 || random.next() < share;
		(isIncluded ? this.candidates : this.#inSlowStart).push(state);
	}

	#preferOwnAvailabilityZone(nowMs: number): void {
		const {preferredAvailabilityZone, hasFreeSlot} = this.#options;
		if (preferredAvailabilityZone === undefined) {
			return;
		}

		const inZone = this.candidates.filter(({upstream}) => upstream.availabilityZone === preferredAvailabilityZone);
		const withFreeSlot = inZone.filter(state => hasFreeSlot(state, nowMs));
		if (withFreeSlot.length > 0) {
			this.candidates.length = 0;
			this.candidates.push(...withFreeSlot);
		}
	}
}

function isEligible(state: UpstreamState, excluded: ReadonlySet<UpstreamId>, nowMs: number): boolean {
	return state.isAvailable(nowMs) && (excluded.size === 0 || !excluded.has(state.upstream.id));
}
