/** Ways to choose an upstream that the bench compares. */
import type {RandomSource, ServiceId} from '@cairnbank/core';
import {
	expectedDurationMs, isLightlyLoaded, shouldProbe, type TypicalDurations, type UpstreamCondition,
} from '@cairnbank/core/placement';
import type {SimulatedUpstream} from './simulated-upstream.js';

/** What one instance knows of one upstream. */
export type Known = {
	readonly upstream: SimulatedUpstream;
	readonly condition: UpstreamCondition;
	/** Own requests there. */
	inFlight: number;
};

export type Choice = {
	readonly all: readonly Known[];
	readonly random: RandomSource;
	/** What this instance's questions have found so far. */
	readonly typical: TypicalDurations;
	readonly workMs: number;
	/** Asks one upstream for its load now. */
	readonly ask: (known: Known) => void;
};

export type PlacementPolicy = 'random' | 'least-in-flight' | 'last-report' | 'ask-first' | 'ask-first-and-learn';
export const placementPolicies: readonly PlacementPolicy[] = ['random', 'least-in-flight', 'last-report', 'ask-first', 'ask-first-and-learn'];

/** The one service of the simulation. */
const service = 'service' as ServiceId;
/** Where nothing is learnt, an upstream without a report counts as this much slower than usual. */
const fixedRatio = 1.6;

/** Two upstreams a round, at most three rounds, until one runs at its usual speed with a slot to spare. */
const askedPerRound = 2;
const maximumRounds = 3;

export function choose(policy: PlacementPolicy, choice: Choice): Known {
	switch (policy) {
		case 'random': {
			return choice.all[Math.floor(choice.random.next() * choice.all.length)]!;
		}

		case 'least-in-flight': {
			return lowest(choice.all, ({inFlight}) => inFlight + choice.random.next());
		}

		case 'last-report': {
			return lowest(choice.all, known => expectedMs(known, choice.workMs, fixedRatio) * (1 + choice.random.next()));
		}

		case 'ask-first': {
			return askFirst(choice, () => fixedRatio, ({rounds, isLightlyLoaded}) => !isLightlyLoaded && rounds < maximumRounds);
		}

		case 'ask-first-and-learn': {
			// As the gateway does.
			return askFirst(choice, () => choice.typical.ratioOf(service), shouldProbe);
		}
	}
}

function askFirst({all, random, typical, workMs, ask}: Choice, unknownRatio: () => number, isWorthwhile: typeof shouldProbe): Known {
	const ranked = all
		.map(known => ({known, cost: expectedMs(known, workMs, unknownRatio()) * (1 + (random.next() / 2))}))
		.toSorted((left, right) => left.cost - right.cost)
		.map(({known}) => known);
	const best = () => lowest(all, known => expectedMs(known, workMs, unknownRatio()));
	for (let rounds = 1; rounds * askedPerRound <= ranked.length; rounds++) {
		const asked = ranked.slice((rounds - 1) * askedPerRound, rounds * askedPerRound);
		for (const known of asked) {
			ask(known);
			typical.record(service, expectedMs(known, workMs, unknownRatio()) / workMs);
		}

		const bestRatio = expectedMs(best(), workMs, unknownRatio()) / workMs;
		if (!isWorthwhile({rounds, isLightlyLoaded: asked.some(known => isLight(known)), bestRatio})) {
			break;
		}
	}

	return best();
}

function isLight({upstream, condition: {report, unreportedInFlight}}: Known): boolean {
	return isLightlyLoaded({report, unreportedInFlight, slots: upstream.slots});
}

function expectedMs({upstream, condition}: Known, workMs: number, typicalRatio: number): number {
	return expectedDurationMs({
		workMs,
		report: condition.report,
		reportAgeMs: condition.reportAgeMs,
		typicalRatio,
		unreportedInFlight: condition.unreportedInFlight,
		slots: upstream.slots,
		warmingUp: false,
	});
}

function lowest(all: readonly Known[], costOf: (known: Known) => number): Known {
	const costs = all.map(known => costOf(known));
	return all[costs.indexOf(Math.min(...costs))]!;
}
