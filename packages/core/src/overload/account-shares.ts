/**
 * Decides which client accounts are refused first. Answers the rush of a few accounts at a service that has too little room for it:
 * what can be served is shared max-min fairly by work, so that an account that asks for less than its share is served in full.
 *
 * An instance judges by its own traffic. An account of which it has seen only a few requests is never over its share.
 */
import type {Clock} from '../model/clock.js';
import type {ClientAccountId, ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import {DecayingSum} from './decaying-sum.js';

/** Time constant of the demand; a rush of an account lasts for seconds. */
const memoryMs = 2000;
/** An account is forgotten once its recent requests count for less than this. */
const forgottenRequests = 0.02;
/** Standard errors by which the demand of an account may be overestimated; the requests seen are a sample. */
const standardErrors = 1.5;
/** The more of the requests of all others are refused, up to this share, the less of what accounts over their share ask for is passed on. */
const acceptedRefusedShare = 0.05;
/** Time constant of the observed room; after a moment without room there is some again within a fraction of a second. */
const roomMemoryMs = 500;
/** While fewer of the places found than this share are loaded, there is room for all, and nobody yields. */
const leastLoadedShare = 0.05;
/** Nobody is served less than this part as often as all. */
const leastPart = 1 / 4;

export type AccountRequest = {
	readonly service: ServiceId;
	/** Undefined on a public route and where no accounts are configured. */
	readonly account: ClientAccountId | undefined;
	/** Accounts share what their priority gets. */
	readonly priority: number;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
};

/** Room for a request as it is decided. */
export type Room = {
	/** True if the best place found for it is lightly loaded. */
	readonly isLightlyLoaded: boolean;
	/** True if its service is overloaded. */
	readonly isOverloaded: boolean;
};

type Demand = {readonly work: DecayingSum; readonly requests: DecayingSum};

type Group = {
	readonly demands: Map<ClientAccountId, Demand>;
	readonly servedWork: DecayingSum;
	/** Requests of accounts within their share. */
	readonly othersServed: DecayingSum;
	readonly othersRefused: DecayingSum;
	/** Places that were found for requests, and those of them that were not lightly loaded. */
	readonly places: DecayingSum;
	readonly loadedPlaces: DecayingSum;
};

export class AccountShares {
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #groups = new Map<string, Group>();

	constructor({clock, random}: {readonly clock: Clock; readonly random: RandomSource}) {
		this.#clock = clock;
		this.#random = random;
	}

	/**
	 * @returns whether the request is refused in favour of accounts that ask for less
	 */
	mustYield(request: AccountRequest, {isLightlyLoaded, isOverloaded}: Room): boolean {
		const group = this.#groupOf(request);
		if (request.account === undefined || group === undefined) {
			return false;
		}

		group.places.add(1);
		group.loadedPlaces.add(isLightlyLoaded ? 0 : 1);
		if (group.loadedPlaces.value < leastLoadedShare * group.places.value || !isOverShare(group, request.account)) {
			return false;
		}

		const leastShare = leastPart * Math.min(1, group.servedWork.value / totalDemandMs(group));
		const passedShare = isOverloaded && !isLightlyLoaded ? leastShare : Math.max(leastShare, 1 - (othersRefusedShare(group) / acceptedRefusedShare));
		return this.#random.next() >= passedShare;
	}

	recordArrival({account, workMs, ...request}: AccountRequest): void {
		if (account === undefined) {
			return;
		}

		const group = this.#groupOf(request) ?? this.#addGroup(request);
		forgetQuiet(group);
		const demand = group.demands.get(account) ?? {work: this.#sum(), requests: this.#sum()};
		demand.work.add(workMs);
		demand.requests.add(1);
		group.demands.set(account, demand);
	}

	recordDecision(request: AccountRequest, isServed: boolean): void {
		const group = this.#groupOf(request);
		if (request.account === undefined || group === undefined) {
			return;
		}

		if (isServed) {
			group.servedWork.add(request.workMs);
		}

		if (!isOverShare(group, request.account)) {
			(isServed ? group.othersServed : group.othersRefused).add(1);
		}
	}

	#groupOf({service, priority}: Pick<AccountRequest, 'service' | 'priority'>): Group | undefined {
		return this.#groups.get(`${priority} ${service}`);
	}

	#addGroup({service, priority}: Pick<AccountRequest, 'service' | 'priority'>): Group {
		const group = {
			demands: new Map<ClientAccountId, Demand>(), servedWork: this.#sum(), othersServed: this.#sum(), othersRefused: this.#sum(),
			places: new DecayingSum(this.#clock, roomMemoryMs), loadedPlaces: new DecayingSum(this.#clock, roomMemoryMs),
		};
		this.#groups.set(`${priority} ${service}`, group);
		return group;
	}

	#sum(): DecayingSum {
		return new DecayingSum(this.#clock, memoryMs);
	}
}

/** Forgets accounts without recent requests, so that the others are compared with those that compete. */
function forgetQuiet({demands}: Group): void {
	for (const [account, {requests}] of demands) {
		if (requests.value < forgottenRequests) {
			demands.delete(account);
		}
	}
}

/** Returns whether an account surely asks for so much that its fair part of it is less than what all get of theirs. */
function isOverShare({demands, servedWork}: Group, account: ClientAccountId): boolean {
	const demand = demands.get(account);
	if (demand === undefined) {
		return false;
	}

	const totalMs = totalDemandMs({demands});
	const servedMs = servedWork.value;
	const sureMs = demand.work.value * (1 - (standardErrors / Math.sqrt(demand.requests.value)));
	return servedMs < totalMs && sureMs * servedMs > maxMinLevel([...demands.values()].map(({work}) => work.value), servedMs) * totalMs;
}

function othersRefusedShare({othersRefused, othersServed}: Group): number {
	const refused = othersRefused.value;
	return refused === 0 ? 0 : refused / (refused + othersServed.value);
}

function totalDemandMs({demands}: Pick<Group, 'demands'>): number {
	return [...demands.values()].reduce((sum, {work}) => sum + work.value, 0);
}

/** Returns the greatest part that an account gets if `total` is shared max-min fairly among demands whose sum is greater. */
function maxMinLevel(demands: readonly number[], total: number): number {
	const ascending = [...demands].sort((left, right) => left - right);
	let left = total;
	for (const [index, demand] of ascending.entries()) {
		const equalPart = left / (ascending.length - index);
		if (demand >= equalPart) {
			return equalPart;
		}

		left -= demand;
	}

	return ascending.at(-1) ?? 0;
}
