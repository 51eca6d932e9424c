/** The upstream that holds the fewest of this instance's requests per slot. */
import type {RandomSource} from '../../model/random-source.js';
import type {Chooser} from '../chooser.js';
import {randomEntry} from './pick.js';

export function createLeastInFlightChooser(random: RandomSource): Chooser {
	return {
		choose(candidates) {
			let best = randomEntry(candidates, random);
			let bestLoad = best.inFlight / best.upstream.slots;
			let ties = 1;
			for (const candidate of candidates) {
				const load = candidate.inFlight / candidate.upstream.slots;
				ties = load === bestLoad ? ties + 1 : 1;
				if (load < bestLoad || (load === bestLoad && random.below(ties) === 0)) {
					best = candidate;
					bestLoad = load;
				}
			}

			return best;
		},
	};
}
