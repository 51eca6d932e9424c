/** Policy `round-robin`: chooses upstreams in turn, from a random start so that instances don't use the same order in step. */
import type {RandomSource} from '../../model/random-source.js';
import type {Chooser} from '../chooser.js';
import {entryAt} from './pick.js';

const maximumStart = 65_536;

export function createRoundRobinChooser(random: RandomSource): Chooser {
	let turn = random.nextInteger(maximumStart);
	return {
		choose(candidates) {
			turn = (turn + 1) % Number.MAX_SAFE_INTEGER;
			return entryAt(candidates, turn % candidates.length);
		},
	};
}
