/** Creates the chooser for a routing policy. */
import type {UpstreamId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {RoutingPolicy} from '../model/routing-policy.js';
import type {Chooser} from './chooser.js';
import {createHomeLeastLatencyChooser} from './choosers/home-least-latency-chooser.js';
import {createHomeSubsetChooser} from './choosers/home-subset-chooser.js';
import {createHotColdChooser} from './choosers/hot-cold-chooser.js';
import {createLeastExpectedLatencyChooser} from './choosers/least-expected-latency-chooser.js';
import {createLeastInFlightChooser} from './choosers/least-in-flight-chooser.js';
import {createRandomChooser} from './choosers/random-chooser.js';
import {createRoundRobinChooser} from './choosers/round-robin-chooser.js';
import {createTwoChoicesAgedChooser, createTwoChoicesChooser} from './choosers/two-choices-chooser.js';
import type {ServiceAverages} from './service-averages.js';

export type ChooserContext = {
	readonly random: RandomSource;
	readonly averages: ServiceAverages;
	/** Returns the home upstreams of this instance, given how many instances share one upstream. */
	readonly homes: (instancesPerUpstream: number) => ReadonlySet<UpstreamId>;
};

export function createChooser(policy: RoutingPolicy, {random, averages, homes}: ChooserContext): Chooser {
	switch (policy.type) {
		case 'random': {
			return createRandomChooser(random);
		}

		case 'round-robin': {
			return createRoundRobinChooser(random);
		}

		case 'least-in-flight': {
			return createLeastInFlightChooser(random);
		}

		case 'two-choices': {
			return createTwoChoicesChooser(random);
		}

		case 'two-choices-aged': {
			return createTwoChoicesAgedChooser(random, averages, policy.halfLifeMs);
		}

		case 'hot-cold': {
			return createHotColdChooser(policy, random);
		}

		case 'home-subset': {
			const {halfLifeMs, instancesPerUpstream} = policy;
			return createHomeSubsetChooser({
				homes: () => homes(instancesPerUpstream), halfLifeMs, random, averages,
			});
		}

		case 'home-least-latency': {
			const {halfLifeMs, instancesPerUpstream} = policy;
			return createHomeLeastLatencyChooser({
				homes: () => homes(instancesPerUpstream), halfLifeMs, random, averages,
			});
		}

		case 'least-expected-latency': {
			return createLeastExpectedLatencyChooser({...policy, random, averages});
		}
	}
}
