/**
 * Policy `home-subset`: a deterministic home subset with overflow. Few instances share an upstream, so that each has nearly
 * exact load data of it. If no home upstream has a free slot, the better of two random candidates is considered too.
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
			const homeIds = homes();
			const homeCandidates = candidates.filter(candidate => homeIds.has(candidate.upstream.id));
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
