/** The placement policies that the bench compares. */
import type {RandomSource, ServiceId} from '@cairnbank/core';
import {
	coreSize, expectedDurationMs, isLightlyLoaded, nextProbes, probeRank, probeRounds, shouldProbe, subsetSize, takeSubset, type SubsetPosition, type TypicalDurations, type UpstreamCondition,
} from '@cairnbank/core/placement';
import type {SimulatedConnections} from './simulated-connections.js';
import type {SimulatedUpstream} from './simulated-upstream.js';

/** What one instance knows about one upstream. */
export type UpstreamView = {
	readonly upstream: SimulatedUpstream;
	readonly condition: UpstreamCondition;
	readonly connections: SimulatedConnections;
	/** Requests that this instance has in flight there. */
	inFlight: number;
};

export type PlacementContext = {
	readonly views: readonly UpstreamView[];
	/** Position of the instance among all. */
	readonly position: SubsetPosition;
	readonly nowMs: number;
	readonly random: RandomSource;
	/** Slowness ratios that this instance's probes have found so far. */
	readonly typical: TypicalDurations;
	readonly workMs: number;
	/** Requests the current load of one upstream. */
	readonly probe: (view: UpstreamView) => void;
};

export type PlacementPolicy = 'random' | 'least-in-flight' | 'last-report' | 'ask-first' | 'ask-first-and-learn';
export const placementPolicies: readonly PlacementPolicy[] = ['random', 'least-in-flight', 'last-report', 'ask-first', 'ask-first-and-learn'];

/** The one service of the simulation. */
const service = 'service' as ServiceId;
/** How much slower than usual an upstream without a report is assumed to be by policies that don't learn it. */
const fixedSlownessRatio = 1.6;

/** Both `ask-first` policies probe up to two upstreams at a time. `ask-first` stops after three rounds, or once one of the two runs at its usual speed with a slot to spare. */
const probesPerRound = 2;
const maximumRounds = 3;

export function chooseUpstream(policy: PlacementPolicy, context: PlacementContext): UpstreamView {
	switch (policy) {
		case 'random': {
			return context.views[Math.floor(context.random.next() * context.views.length)]!;
		}

		case 'least-in-flight': {
			return lowestCost(context.views, ({inFlight}) => inFlight + context.random.next());
		}

		case 'last-report': {
			return lowestCost(context.views, view => expectedRequestMs(view, context.workMs, fixedSlownessRatio) * (1 + context.random.next()));
		}

		case 'ask-first': {
			const ranked = rankedBy(context, fixedSlownessRatio);
			return probeFirst(context, {
				ranked,
				considered: context.views,
				unknownRatio: () => fixedSlownessRatio,
				batchSize: () => probesPerRound,
				shouldContinue: ({rounds, isLightlyLoaded}) => !isLightlyLoaded && rounds < maximumRounds,
			});
		}

		case 'ask-first-and-learn': {
			// This is the gateway's own policy.
			const unknownRatio = () => context.typical.ratioOf(service);
			const ranked = rankedByConnection(context, unknownRatio());
			return probeFirst(context, {
				ranked, considered: ranked, unknownRatio, batchSize: probes => nextProbes(probes, true), shouldContinue: shouldProbe,
			});
		}
	}
}

function rankedBy({views, random, workMs}: PlacementContext, unknownRatio: number): readonly UpstreamView[] {
	return sortedBy(views, view => expectedRequestMs(view, workMs, unknownRatio) * (1 + (random.next() / 2)));
}

/** Ranks as the gateway does, which keeps to a subset of a large service. */
function rankedByConnection({
	views, random, workMs, position, nowMs,
}: PlacementContext, unknownRatio: number): readonly UpstreamView[] {
	const hasSubset = views.length > 2 * subsetSize;
	const preferred = hasSubset ? takeSubset(views, position, () => true) : views;
	const core = hasSubset ? coreSize({instances: position.count, upstreams: views.length}) : views.length;
	const inCore = new Set(preferred.slice(0, core));
	return sortedBy(preferred, view => probeRank({
		costMs: expectedRequestMs(view, workMs, unknownRatio), connection: view.connections.state(nowMs), isInCore: inCore.has(view),
	}, random.next()));
}

function sortedBy(views: readonly UpstreamView[], costOf: (view: UpstreamView) => number): readonly UpstreamView[] {
	return views
		.map(view => ({view, cost: costOf(view)}))
		.toSorted((left, right) => left.cost - right.cost)
		.map(({view}) => view);
}

type Search = {
	readonly ranked: readonly UpstreamView[];
	/** Those of which the best is chosen; the first of them among equals. */
	readonly considered: readonly UpstreamView[];
	readonly unknownRatio: () => number;
	readonly batchSize: (probes: number) => number;
	readonly shouldContinue: typeof shouldProbe;
};

function probeFirst({typical, workMs, probe}: PlacementContext, {
	ranked, considered, unknownRatio, batchSize, shouldContinue,
}: Search): UpstreamView {
	const best = () => lowestCost(considered, view => expectedRequestMs(view, workMs, unknownRatio()));
	for (let probes = 0; probes < ranked.length;) {
		const probed = ranked.slice(probes, probes + batchSize(probes));
		probes += probed.length;
		for (const view of probed) {
			probe(view);
			typical.record(service, expectedRequestMs(view, workMs, unknownRatio()) / workMs);
		}

		const bestRatio = expectedRequestMs(best(), workMs, unknownRatio()) / workMs;
		if (!shouldContinue({rounds: probeRounds(probes), isLightlyLoaded: probed.some(view => hasLightLoad(view)), bestRatio})) {
			break;
		}
	}

	return best();
}

function hasLightLoad({upstream, condition: {report, unreportedInFlight}}: UpstreamView): boolean {
	return isLightlyLoaded({report, unreportedInFlight, slots: upstream.slots});
}

function expectedRequestMs({upstream, condition}: UpstreamView, workMs: number, typicalRatio: number): number {
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

function lowestCost(views: readonly UpstreamView[], costOf: (view: UpstreamView) => number): UpstreamView {
	const costs = views.map(view => costOf(view));
	return views[costs.indexOf(Math.min(...costs))]!;
}
