/** Checks each guarantee of the system against the complete history of a run. A check returns one line for each breach. */
import {worstRetryWindow} from '@cairnbank/platform/spec-support/retry-bound';
import type {
	CallRecord, Disturbance, History, RunRecord,
} from './history.js';
import {deadlineMs as usualDeadlineMs} from './soak-caller.js';
import {soakRetryBound} from './soak-site.js';

/** Time for which a leaving upstream may still get requests. */
const drainMs = 2000;
/** Guarantees with a time bound are not checked during a disturbance and for this long after it. */
const recoveryMs = 3000;
/** Time after which all instances have to know a limit that an upstream has begun to advertise. */
const limitPropagationMs = 3000;
/** Requests that were in flight when an upstream asked an instance to back off may still arrive within this time. */
const inFlightGraceMs = 500;
/** Requests from one instance that may still reach an upstream while the instance should back off. */
const backOffSlack = 2;
/** Crashes after which a request is refused. */
const crashesBeforeRefusal = 3;
/** Runs of a refused request that are allowed, as instances try it again from time to time. */
const lateRunSlack = 3;
/** Least share of requests served at instances without links, relative to the others, and the failures that are allowed all the same. */
const linklessShare = 2 / 3;
const linklessSlack = 10;
const linklessSlackOneIn = 50;
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
/** Maximum attempts of the routes of a site. */
const maximumAttempts = 2;
/** Statuses that guarantee that a request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
const okStatus = 200;
const refusalStatus = 503;
const timeoutStatus = 504;
/** A request that ends within this time of its deadline may have timed out. */
const deadlineSlackMs = 500;

export type Check = {readonly name: string; readonly findBreaches: (history: History) => readonly string[]};

export function groupRunsById(runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> {
	const runsById = new Map<string, RunRecord[]>();
	for (const run of runs) {
		const runsOfId = runsById.get(run.id) ?? [];
		runsOfId.push(run);
		runsById.set(run.id, runsOfId);
	}

	return runsById;
}

const overlaps = ({fromMs, untilMs}: Disturbance, startMs: number, endMs: number): boolean => fromMs <= endMs && untilMs + recoveryMs >= startMs;

export function maximumInWindow(timesMs: readonly number[], windowMs: number): number {
	const sorted = timesMs.toSorted((left, right) => left - right);
	let first = 0;
	let most = 0;
	for (const [index, atMs] of sorted.entries()) {
		while (atMs - sorted[first]! > windowMs) {
			first += 1;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

const atMostOnce: Check = {
	name: 'a request that is not idempotent runs at most once',
	findBreaches({calls, runs}) {
		const runsById = groupRunsById(runs);
		return calls
			.filter(({id, idempotent}) => !idempotent && (runsById.get(id)?.length ?? 0) > 1)
			.map(({id}) => `${id} ran on ${runsById.get(id)!.map(({upstream}) => upstream).join(' ')}`);
	},
};

const notRunIsCorrect: Check = {
	name: 'a request reported as not run never runs',
	findBreaches({calls, runs}) {
		const runsById = groupRunsById(runs);
		const claimsNotRun = ({end}: CallRecord) => end.type === 'refused' || (end.type === 'answered' && notRunStatuses.has(end.status));
		return calls.filter(call => claimsNotRun(call) && runsById.has(call.id)).map(({id, end}) => `${id} ran, but its caller got ${JSON.stringify(end)}`);
	},
};

const answersMatchRequests: Check = {
	name: 'a success is the whole answer of an upstream that ran this very request',
	findBreaches({calls, runs}) {
		const runsById = groupRunsById(runs);
		return calls.flatMap(({id, method, path, end}) => {
			if (end.type !== 'answered' || end.status !== okStatus) {
				return [];
			}

			const upstreamsThatRan = runsById.get(id)?.map(({upstream}) => upstream) ?? [];
			const isOwn = end.requestId === id && upstreamsThatRan.some(upstream => end.signature === `signed-by-${upstream}` && end.body === `${upstream} ran ${method} ${path}`);
			return isOwn ? [] : [`${id} got ${JSON.stringify(end)}, ran on ${upstreamsThatRan.join(' ')}`];
		});
	},
};

const attemptsWithinBound: Check = {
	name: 'a request runs on no more upstreams than its route allows',
	findBreaches({runs}) {
		return [...groupRunsById(runs)]
			.filter(([, records]) => new Set(records.map(({upstream}) => upstream)).size > maximumAttempts)
			.map(([id, records]) => `${id} ran on ${records.map(({upstream}) => upstream).join(' ')}`);
	},
};

const retriesWithinBudget: Check = {
	name: 'repeats stay within the budget of all instances in each window',
	findBreaches({calls, arrivals}) {
		const fullest = worstRetryWindow(calls.map(({sentAtMs}) => sentAtMs), arrivals, soakRetryBound);
		return fullest !== undefined && fullest.retries > fullest.allowed
			? [`${fullest.retries} retries in the window that ends at ${Math.round(fullest.endMs)} ms, ${fullest.allowed} allowed`]
			: [];
	},
};

/** Returns a predicate: whether the instance that accepted a request from its caller was disturbed. Disturbances of other instances do not count. */
function isInstanceDisturbed({calls, disturbances}: Pick<History, 'calls' | 'disturbances'>): (run: RunRecord, fromMs: number) => boolean {
	const instanceOf = new Map(calls.map(({id, instance}) => [id, instance]));
	return ({id, atMs}, fromMs) => disturbances.some(disturbance =>
		disturbance.instance === instanceOf.get(id) && overlaps(disturbance, fromMs, atMs));
}

const drainIsRespected: Check = {
	name: 'a leaving upstream gets nothing new after its time to drain',
	findBreaches({calls, runs, drains, disturbances}) {
		const isExcused = isInstanceDisturbed({calls, disturbances});
		const fleetDisturbances = disturbances.filter(({instance}) => instance === undefined);
		return drains.flatMap(({upstream, atMs}) => runs
			.filter(run => run.upstream === upstream && run.atMs > atMs + drainMs)
			.filter(run => !isExcused(run, run.atMs - drainMs) && !fleetDisturbances.some(disturbance => overlaps(disturbance, run.atMs - drainMs, run.atMs)))
			.map(run => `${run.id} ran on ${upstream} ${Math.round(run.atMs - atMs)} ms after it began to drain`));
	},
};

const limitIsRespected: Check = {
	name: 'an upstream that advertises a rate limit gets no more from all instances together',
	findBreaches({calls, runs, limits, disturbances}) {
		const isExcused = isInstanceDisturbed({calls, disturbances});
		return limits.flatMap(({upstream, requestsPerSecond, fromMs, untilMs}) => {
			const relevantRuns = runs.filter(run => run.upstream === upstream && run.atMs >= fromMs + limitPropagationMs && run.atMs <= untilMs);
			const undisturbedRuns = relevantRuns.filter(run => !isExcused(run, run.atMs - limitWindowMs));
			const most = maximumInWindow(undisturbedRuns.map(({atMs}) => atMs), limitWindowMs);
			const allowed = (limitFactor * requestsPerSecond * limitWindowMs / 1000) + limitSlack;
			return most > allowed ? [`${upstream} got ${most} requests in ${limitWindowMs} ms, ${allowed} allowed`] : [];
		});
	},
};

/** Maps the id of each request to the instance that accepted it from a caller. */
function mapInstancesByRequestId(calls: readonly CallRecord[]): ReadonlyMap<string, string> {
	return new Map(calls.map(({id, instance}) => [id, instance]));
}

const concernsInstance = (instance: string) => (disturbance: Disturbance) => disturbance.instance === instance;

const leavingIsRespected: Check = {
	name: 'an upstream gets nothing new from an instance that has passed on that it leaves, after its time to drain',
	findBreaches({calls, runs, leavings, disturbances}) {
		const runsById = groupRunsById(runs);
		return leavings.flatMap(({upstream, atMs: leavingAtMs}) => {
			/** The time at which each instance first forwarded an answer of the upstream that says that it is leaving. */
			const reportedAtMs = new Map<string, number>();
			for (const {id, end, instance, endedAtMs} of calls) {
				const isReported = end.type === 'answered' && end.signature === `signed-by-${upstream}`
					&& runsById.get(id)?.some(run => run.upstream === upstream && run.atMs >= leavingAtMs);
				if (isReported) {
					reportedAtMs.set(instance, Math.min(endedAtMs, reportedAtMs.get(instance) ?? Number.POSITIVE_INFINITY));
				}
			}

			const isLate = ({id, instance, sentAtMs}: CallRecord) => {
				const atMs = reportedAtMs.get(instance) ?? Number.POSITIVE_INFINITY;
				const isExcused = disturbances.filter(concernsInstance(instance)).some(({fromMs, untilMs}) => fromMs <= sentAtMs + drainMs && untilMs >= atMs);
				return !isExcused && sentAtMs > atMs + drainMs && runsById.get(id)?.some(run => run.upstream === upstream);
			};

			return calls.filter(call => isLate(call)).map(({id, instance}) => `${id} ran on ${upstream}, sent by ${instance}, which had already forwarded that the upstream is leaving`);
		});
	},
};

const backOffIsRespected: Check = {
	name: 'an upstream that asks an instance to back off gets next to nothing from it in that time',
	findBreaches({calls, floods, arrivals, backOffs, disturbances}) {
		// Calls leave out the refused requests of a flooded account, which reach upstreams too.
		const flooding = floods.flatMap(flood => flood.calls.map(({record}) => record));
		const instances = mapInstancesByRequestId([...calls, ...flooding]);
		return backOffs.flatMap(({id: askedBy, upstream, atMs, durationMs}) => {
			const instance = instances.get(askedBy);
			const isExcused = disturbances.some(disturbance =>
				(disturbance.instance === instance || disturbance.upstream === upstream) && disturbance.fromMs <= atMs + durationMs && disturbance.untilMs >= atMs);
			const late = arrivals.filter(arrival => arrival.upstream === upstream && instances.get(arrival.id) === instance
				&& arrival.atMs > atMs + inFlightGraceMs && arrival.atMs <= atMs + durationMs);
			return isExcused || late.length <= backOffSlack
				? []
				: [`${upstream} asked ${instance} to back off for ${durationMs} ms, but got ${late.length} requests from it`];
		});
	},
};

const requestsAreNotCut: Check = {
	name: 'no request that ran is cut at an instance that was neither killed nor paused',
	findBreaches({calls, runs, disturbances}) {
		const runsById = groupRunsById(runs);
		// A silenced link can hold back an answer for longer than the grace period of a stopping instance.
		const isHeldBack = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(({kind, fromMs, untilMs}) =>
			kind === 'link' && fromMs <= endedAtMs && untilMs >= sentAtMs);
		const isDisturbed = ({instance, sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance =>
			disturbance.kind === 'instance' && disturbance.instance === instance && overlaps(disturbance, sentAtMs, endedAtMs));
		const hasStalled = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance => disturbance.kind === 'stall' && overlaps(disturbance, sentAtMs, endedAtMs));
		// A caller also times out if its own process stalled. Without a stall, a timeout means that the request was not answered.
		const endedWithoutAnswer = (call: CallRecord) => call.end.type === 'cut' || (call.end.type === 'left' && !hasStalled(call));
		return calls
			.filter(call => endedWithoutAnswer(call) && runsById.has(call.id) && !isDisturbed(call) && !isHeldBack(call))
			.map(({id, instance}) => `${id} was cut at ${instance}`);
	},
};

const stoppingTakesNoMoreThanItEnds: Check = {
	name: 'a request that comes after SIGTERM is refused or gets the answer of its upstream',
	findBreaches({calls, runs, stops, disturbances}) {
		const runsById = groupRunsById(runs);
		const hasStalled = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance => disturbance.kind === 'stall' && overlaps(disturbance, sentAtMs, endedAtMs));
		const isBrokenOff = ({sentAtMs, endedAtMs, end, deadlineMs = usualDeadlineMs}: CallRecord) =>
			end.type === 'answered' && end.status === timeoutStatus && endedAtMs - sentAtMs < deadlineMs - deadlineSlackMs;
		return stops.filter(({wasKilled}) => !wasKilled).flatMap(({instance, signalledAtMs, endedAtMs: stoppedAtMs}) => calls
			.filter(call => call.instance === instance && call.sentAtMs >= signalledAtMs && call.endedAtMs <= stoppedAtMs)
			.filter(call => isBrokenOff(call) && runsById.has(call.id) && !hasStalled(call))
			.map(({id, sentAtMs, endedAtMs}) =>
				`${id} came ${Math.round(sentAtMs - signalledAtMs)} ms after SIGTERM to ${instance} and was broken off after ${Math.round(endedAtMs - sentAtMs)} ms`));
	},
};

const crashesAreContained: Check = {
	name: 'a request that crashes upstreams reaches next to none once three have crashed',
	findBreaches: ({crashes, disturbances}) => crashes.flatMap(({calls, runs}) => {
		const isExcused = isInstanceDisturbed({calls, disturbances});
		const thirdCrashMs = runs.map(({atMs}) => atMs).toSorted((left, right) => left - right)[crashesBeforeRefusal - 1] ?? Number.POSITIVE_INFINITY;
		const late = runs.filter(run => run.atMs > thirdCrashMs + recoveryMs && !isExcused(run, run.atMs - recoveryMs));
		return late.length > lateRunSlack ? [`${calls[0]!.path} ran ${late.length} times later than ${recoveryMs} ms after it had crashed three upstreams`] : [];
	}),
};

const harmlessIsServed: Check = {
	name: 'a harmless request is served beside one that crashes upstreams, once that one is refused',
	findBreaches({crashes, disturbances}) {
		const crashesAtMs = crashes.flatMap(({runs}) => runs.map(({atMs}) => atMs));
		const isNearCrash = ({sentAtMs, endedAtMs}: CallRecord) => crashesAtMs.some(atMs => atMs > sentAtMs - recoveryMs && atMs < endedAtMs);
		const isDisturbed = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance => overlaps(disturbance, sentAtMs, endedAtMs));
		return crashes.flatMap(({harmlessCalls}) => {
			const unserved = harmlessCalls.filter(({end}) => end.type !== 'answered' || end.status !== okStatus)
				.filter(call => !isNearCrash(call) && !isDisturbed(call));
			// One instance tries a request again that was running at three crashes, so each of the others may refuse it before.
			const refusals = new Set<string>();
			return unserved.filter(({instance, sentAtMs, end}) => {
				const crashesBefore = crashesAtMs.filter(atMs => atMs < sentAtMs).length;
				const refusal = `${instance} after ${crashesBefore} crashes`;
				const isFirstRefusal = end.type === 'answered' && end.status === refusalStatus && !refusals.has(refusal);
				refusals.add(refusal);
				return !isFirstRefusal;
			}).map(({id, instance, end}) => `${id} at ${instance}: ${JSON.stringify(end)}`);
		});
	},
};

const isServed = ({end}: CallRecord): boolean => end.type === 'answered' && end.status === okStatus;

const linklessServe: Check = {
	name: 'instances without links to upstreams serve callers through others',
	findBreaches: ({calls, cuts, disturbances}) => cuts.flatMap(({instances, fromMs, untilMs}) => {
		const isDisturbed = ({instance, sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance =>
			(disturbance.instance === instance || disturbance.kind === 'stall') && overlaps(disturbance, sentAtMs, endedAtMs));
		const observed = calls.filter(call => call.sentAtMs >= fromMs + recoveryMs && call.endedAtMs <= untilMs && !isDisturbed(call));
		const there = observed.filter(({instance}) => instances.includes(instance));
		const elsewhere = observed.filter(({instance}) => !instances.includes(instance));
		const served = there.filter(call => isServed(call)).length;
		const servedElsewhere = elsewhere.filter(call => isServed(call)).length;
		const isTooFew = served * elsewhere.length < linklessShare * servedElsewhere * there.length;
		const isBeyondSlack = there.length - served > linklessSlack + (there.length / linklessSlackOneIn);
		return isTooFew && isBeyondSlack ? [`${served} of ${there.length} requests served at ${instances.join(' ')}, ${servedElsewhere} of ${elsewhere.length} elsewhere`] : [];
	}),
};

const stopsCleanly: Check = {
	name: 'an instance that gets SIGTERM ends in order',
	findBreaches: ({stops}) => stops
		.filter(({exitCode, wasKilled}) => !wasKilled && exitCode !== 0)
		.map(({instance, exitCode, errors}) => `${instance} ended with ${exitCode ?? 'a signal'}: ${errors.join(' ')}`),
};

const recovers: Check = {
	name: 'everything is served again after the last fault',
	findBreaches: ({afterwards}) => afterwards
		.filter(({end}) => end.type !== 'answered' || end.status !== okStatus)
		.map(({id, instance, end}) => `${id} at ${instance}: ${JSON.stringify(end)}`),
};

export const checks: readonly Check[] = [
	atMostOnce,
	notRunIsCorrect,
	answersMatchRequests,
	attemptsWithinBound,
	retriesWithinBudget,
	drainIsRespected,
	limitIsRespected,
	leavingIsRespected,
	backOffIsRespected,
	requestsAreNotCut,
	stoppingTakesNoMoreThanItEnds,
	crashesAreContained,
	harmlessIsServed,
	linklessServe,
	stopsCleanly,
	recovers,
];
