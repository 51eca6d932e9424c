/** Measures how overloaded each service is, as seen by one instance: the share of recent requests refused for lack of capacity. */
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';
import {DecayingSum} from './decaying-sum.js';

/** Time constant of the counts. An instance of a large fleet sees some ten requests a second, too few to judge a shorter time by. */
const memoryMs = 2000;
const millisecondsPerSecond = 1000;
/** A caller that returns once is refused for good with the square of this share, one in fifty; below it a short retry delay is enough. */
const overloadShare = 1 / 7;
/** Above this share a request is more likely to be refused than to be served. */
const mostShare = 1 / 2;
/** Least number of recent refusals, so that a moment in which all upstreams happen to be busy doesn't count as an overload. */
const minimumRefusals = 2;

type Counts = {readonly admitted: DecayingSum; readonly refused: DecayingSum};
type Totals = {readonly admitted: number; readonly refused: number};
type CountedRequest = {readonly service: ServiceId; readonly priority: number};

export class OverloadMeter {
	readonly #clock: Clock;
	readonly #counts = new Map<ServiceId, Map<number, Counts>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordAdmitted(request: CountedRequest): void {
		this.#of(request).admitted.add(1);
	}

	/** Records that a request was refused for lack of capacity. */
	recordRefused(request: CountedRequest): void {
		this.#of(request).refused.add(1);
	}

	/** Returns whether so many requests are refused that callers who return soon are likely to be refused again. */
	isOverloaded(service: ServiceId): boolean {
		return isAbove(this.#total(service), overloadShare);
	}

	/** Returns whether most requests that are at least as urgent as a priority are refused. */
	refusesMost({service, priority}: CountedRequest): boolean {
		return isAbove(this.#total(service, priority), mostShare);
	}

	/** Returns how many requests a second this instance sends to upstreams of a service. */
	admittedPerSecond(service: ServiceId): number {
		return this.#total(service).admitted * millisecondsPerSecond / memoryMs;
	}

	#total(service: ServiceId, leastUrgent = Number.POSITIVE_INFINITY): Totals {
		let admitted = 0;
		let refused = 0;
		for (const [priority, counts] of this.#counts.get(service) ?? []) {
			if (priority <= leastUrgent) {
				admitted += counts.admitted.value;
				refused += counts.refused.value;
			}
		}

		return {admitted, refused};
	}

	#of({service, priority}: CountedRequest): Counts {
		const ofService = this.#counts.get(service) ?? new Map<number, Counts>();
		const counts = ofService.get(priority) ?? {admitted: new DecayingSum(this.#clock, memoryMs), refused: new DecayingSum(this.#clock, memoryMs)};
		ofService.set(priority, counts);
		this.#counts.set(service, ofService);
		return counts;
	}
}

function isAbove({admitted, refused}: Totals, share: number): boolean {
	return refused >= minimumRefusals && refused > share * (admitted + refused);
}
