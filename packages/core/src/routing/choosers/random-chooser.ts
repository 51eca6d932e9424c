/** Policy `random`: chooses an upstream at random, uniformly distributed. */
import type {RandomSource} from '../../model/random-source.js';
import type {Chooser} from '../chooser.js';
import {randomEntry} from './pick.js';

export function createRandomChooser(random: RandomSource): Chooser {
	return {choose: candidates => randomEntry(candidates, random)};
}
