/**
 * A deterministic home subset with overflow: few instances share an upstream, so that what each knows of it is
 * nearly exact; when no home has a free slot, the request goes to the better of two others.
 */
import type {RandomSource} from '../../model/random-source.js';
import type {UpstreamId} from '../../model/ids.js';
import {estimatedInFlight} from '../load-estimate.js';
import type {Chooser} from '../chooser.js';
import type {ServiceAverages} from '../service-averages.js';
import type {UpstreamState} from '../upstream-state.js';
import {lowestCost, twoRandomEntries} from './pick.js';

export type HomeSubsetOptions = {
	readonly homes: () => ReadonlySet<UpstreamId>;
	readonly halfLifeMs: number;
	readonly random: RandomSource;
	readonly averages: ServiceAverages;
};

export function createHomeSubsetChooser({homes, halfLifeMs, random, averages}: HomeSubsetOptions): Chooser {
	const load = (state: UpstreamState, nowMs: number) => estimatedInFlight(state, averages, halfLifeMs, nowMs) / state.upstream.slots;
	return {
		choose(candidates, nowMs) {
			const own = homes();
			const homeCandidates = candidates.filter(candidate => own.has(candidate.upstream.id));
			const cost = (state: UpstreamState) => load(state, nowMs);
			const home = homeCandidates.length === 0 ? undefined : lowestCost(homeCandidates, homeCandidates.length, random, cost);
			if (home !== undefined && cost(home) < 1) {
				return home;
			}

			const [first, second] = twoRandomEntries(candidates, random);
			const other = cost(second) < cost(first) ? second : first;
			return home !== undefined && cost(home) <= cost(other) ? home : other;
		},
	};
}
