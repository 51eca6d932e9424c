/** Policies `two-choices` and `two-choices-aged`: choose the less loaded of two random upstreams. */
import type {RandomSource} from '../../model/random-source.js';
import {estimatedInFlight} from '../load-estimate.js';
import type {Chooser} from '../chooser.js';
import type {ServiceAverages} from '../service-averages.js';
import {twoRandomEntries} from './pick.js';

/** Compares only this instance's own requests per slot. */
export function createTwoChoicesChooser(random: RandomSource): Chooser {
	return {
		choose(candidates) {
			const [first, second] = twoRandomEntries(candidates, random);
			return second.inFlight / second.upstream.slots < first.inFlight / first.upstream.slots ? second : first;
		},
	};
}

/** Compares load estimates: own requests, plus those of others from reports weighted by age. */
export function createTwoChoicesAgedChooser(random: RandomSource, averages: ServiceAverages, halfLifeMs: number): Chooser {
	return {
		choose(candidates, nowMs) {
			const [first, second] = twoRandomEntries(candidates, random);
			const firstLoad = estimatedInFlight(first, averages, halfLifeMs, nowMs) / first.upstream.slots;
			const secondLoad = estimatedInFlight(second, averages, halfLifeMs, nowMs) / second.upstream.slots;
			return secondLoad < firstLoad ? second : first;
		},
	};
}
