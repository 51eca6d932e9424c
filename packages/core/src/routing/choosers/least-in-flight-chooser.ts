/** Policy `least-in-flight`: chooses the upstream with the fewest requests of this instance in flight per slot. */
import type {RandomSource} from '../../model/random-source.js';
import type {Chooser} from '../chooser.js';
import {lowestCost} from './pick.js';

export function createLeastInFlightChooser(random: RandomSource): Chooser {
	return {
		choose: candidates => lowestCost(candidates, candidates.length, random, ({inFlight, upstream}) => inFlight / upstream.slots),
	};
}
