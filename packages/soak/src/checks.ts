/** The promises, each checked on a whole history; a check gives one line for each breach. */
import {fullestWindow} from '@cairnbank/platform/spec-support/repeat-bound';
import type {
	CallRecord, Disturbance, History, RunRecord,
} from './history.js';
import {soakRetryBound} from './soak-site.js';

/** Time in which a leaving upstream may still get requests. */
const drainMs = 2000;
/** Promises with a bound in time are judged again this long after a disturbance. */
const stabilityMs = 3000;
/** From this time on after an upstream first advertised its limit, all instances have to know it. */
const limitKnownAfterMs = 3000;
/** What is already under way when an upstream asks an instance to back off may still arrive in this time. */
const inFlightGraceMs = 500;
/** Requests that may reach an upstream all the same while it wants nothing from an instance. */
const backOffSlack = 2;
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
/** Of the routes of a site. */
const maximumAttempts = 2;
/** Statuses that promise that a request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
const okStatus = 200;

export type Check = {readonly name: string; readonly findBreaches: (history: History) => readonly string[]};

function groupRunsById(runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> {
	const byId = new Map<string, RunRecord[]>();
	for (const run of runs) {
		const ofId = byId.get(run.id) ?? [];
		ofId.push(run);
		byId.set(run.id, ofId);
	}

	return byId;
}

const overlaps = ({fromMs, untilMs}: Disturbance, startMs: number, endMs: number): boolean => fromMs <= endMs && untilMs + stabilityMs >= startMs;

function maximumInWindow(timesMs: readonly number[], windowMs: number): number {
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
		const byId = groupRunsById(runs);
		return calls
			.filter(({id, idempotent}) => !idempotent && (byId.get(id)?.length ?? 0) > 1)
			.map(({id}) => `${id} ran on ${byId.get(id)!.map(({upstream}) => upstream).join(' ')}`);
	},
};

const notRunIsCorrect: Check = {
	name: 'a request reported as not run never runs',
	findBreaches({calls, runs}) {
		const byId = groupRunsById(runs);
		const isPromised = ({end}: CallRecord) => end.type === 'refused' || (end.type === 'answered' && notRunStatuses.has(end.status));
		return calls.filter(call => isPromised(call) && byId.has(call.id)).map(({id, end}) => `${id} ran, told ${JSON.stringify(end)}`);
	},
};

const answersMatchRequests: Check = {
	name: 'a success is the whole answer of an upstream that ran this very request',
	findBreaches({calls, runs}) {
		const byId = groupRunsById(runs);
		return calls.flatMap(({id, method, path, end}) => {
			if (end.type !== 'answered' || end.status !== okStatus) {
				return [];
			}

			const ranOn = byId.get(id)?.map(({upstream}) => upstream) ?? [];
			const isOwn = end.requestId === id && ranOn.some(upstream => end.signature === `signed-by-${upstream}` && end.body === `${upstream} ran ${method} ${path}`);
			return isOwn ? [] : [`${id} got ${JSON.stringify(end)}, ran on ${ranOn.join(' ')}`];
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
		const fullest = fullestWindow(calls.map(({sentAtMs}) => sentAtMs), arrivals, soakRetryBound);
		return fullest !== undefined && fullest.repeats > fullest.allowed
			? [`${fullest.repeats} repeats in the window that ends at ${Math.round(fullest.endMs)} ms, ${fullest.allowed} allowed`]
			: [];
	},
};

/** Whether the instance that took a request from its caller was disturbed; the disturbance of one excuses no other. */
function isInstanceDisturbed({calls, disturbances}: Pick<History, 'calls' | 'disturbances'>): (run: RunRecord, fromMs: number) => boolean {
	const instanceOf = new Map(calls.map(({id, instance}) => [id, instance]));
	return ({id, atMs}, fromMs) => disturbances.some(disturbance =>
		disturbance.instance === instanceOf.get(id) && overlaps(disturbance, fromMs, atMs));
}

const drainIsRespected: Check = {
	name: 'a leaving upstream gets nothing new after its time to drain',
	findBreaches({calls, runs, drains, disturbances}) {
		const isExcused = isInstanceDisturbed({calls, disturbances});
		const ofAll = disturbances.filter(({instance}) => instance === undefined);
		return drains.flatMap(({upstream, atMs}) => runs
			.filter(run => run.upstream === upstream && run.atMs > atMs + drainMs)
			.filter(run => !isExcused(run, run.atMs - drainMs) && !ofAll.some(disturbance => overlaps(disturbance, run.atMs - drainMs, run.atMs)))
			.map(run => `${run.id} ran on ${upstream} ${Math.round(run.atMs - atMs)} ms after it began to drain`));
	},
};

const limitIsRespected: Check = {
	name: 'an upstream that advertises a rate limit gets no more from all instances together',
	findBreaches({calls, runs, limits, disturbances}) {
		const isExcused = isInstanceDisturbed({calls, disturbances});
		return limits.flatMap(({upstream, requestsPerSecond, fromMs, untilMs}) => {
			const judged = runs.filter(run => run.upstream === upstream && run.atMs >= fromMs + limitKnownAfterMs && run.atMs <= untilMs);
			const calm = judged.filter(run => !isExcused(run, run.atMs - limitWindowMs));
			const most = maximumInWindow(calm.map(({atMs}) => atMs), limitWindowMs);
			const allowed = (limitFactor * requestsPerSecond * limitWindowMs / 1000) + limitSlack;
			return most > allowed ? [`${upstream} got ${most} requests in ${limitWindowMs} ms, ${allowed} allowed`] : [];
		});
	},
};

/** Instances by the ids of the requests that they took from callers. */
function mapInstancesByRequestId(calls: readonly CallRecord[]): ReadonlyMap<string, string> {
	return new Map(calls.map(({id, instance}) => [id, instance]));
}

const concernsInstance = (instance: string) => (disturbance: Disturbance) => disturbance.instance === instance;

const leavingIsRespected: Check = {
	name: 'an upstream gets nothing new from an instance that has passed on that it leaves, after its time to drain',
	findBreaches({calls, runs, leavings, disturbances}) {
		const byId = groupRunsById(runs);
		return leavings.flatMap(({upstream, atMs: leavingAtMs}) => {
			/** When each instance first passed on an answer of the upstream that says so. */
			const reportedAtMs = new Map<string, number>();
			for (const {id, end, instance, endedAtMs} of calls) {
				const isReported = end.type === 'answered' && end.signature === `signed-by-${upstream}`
					&& byId.get(id)?.some(run => run.upstream === upstream && run.atMs >= leavingAtMs);
				if (isReported) {
					reportedAtMs.set(instance, Math.min(endedAtMs, reportedAtMs.get(instance) ?? Number.POSITIVE_INFINITY));
				}
			}

			const isLate = ({id, instance, sentAtMs}: CallRecord) => {
				const atMs = reportedAtMs.get(instance) ?? Number.POSITIVE_INFINITY;
				const isExcused = disturbances.filter(concernsInstance(instance)).some(({fromMs, untilMs}) => fromMs <= sentAtMs + drainMs && untilMs >= atMs);
				return !isExcused && sentAtMs > atMs + drainMs && byId.get(id)?.some(run => run.upstream === upstream);
			};

			return calls.filter(call => isLate(call)).map(({id, instance}) => `${id} ran on ${upstream}, sent by ${instance}, which had been told that it leaves`);
		});
	},
};

const backOffIsRespected: Check = {
	name: 'an upstream that asks an instance to back off gets next to nothing from it in that time',
	findBreaches({calls, arrivals, backOffs, disturbances}) {
		const instances = mapInstancesByRequestId(calls);
		return backOffs.flatMap(({id: askedBy, upstream, atMs, durationMs}) => {
			const instance = instances.get(askedBy);
			const isExcused = disturbances.some(disturbance =>
				(disturbance.instance === instance || disturbance.upstream === upstream) && disturbance.fromMs <= atMs + durationMs && disturbance.untilMs >= atMs);
			const late = arrivals.filter(arrival => arrival.upstream === upstream && instances.get(arrival.id) === instance
				&& arrival.atMs > atMs + inFlightGraceMs && arrival.atMs <= atMs + durationMs);
			return isExcused || late.length <= backOffSlack
				? []
				: [`${upstream} had asked ${instance} to back off for ${durationMs} ms, and got ${late.length} requests from it`];
		});
	},
};

const requestsAreNotCut: Check = {
	name: 'no request that ran is cut at an instance that was neither killed nor paused',
	findBreaches({calls, runs, disturbances}) {
		const byId = groupRunsById(runs);
		// An answer that a silenced link holds back outlasts the grace time of an instance that stops.
		const isHeldBack = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(({kind, fromMs, untilMs}) =>
			kind === 'link' && fromMs <= endedAtMs && untilMs >= sentAtMs);
		const isDisturbed = ({instance, sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance =>
			disturbance.kind === 'instance' && disturbance.instance === instance && overlaps(disturbance, sentAtMs, endedAtMs));
		const hasStalled = ({sentAtMs, endedAtMs}: CallRecord) => disturbances.some(disturbance => disturbance.kind === 'stall' && overlaps(disturbance, sentAtMs, endedAtMs));
		// A caller whose own process stood still leaves with its timeout; one that leaves for any other reason was not answered.
		const isEndedEarly = (call: CallRecord) => call.end.type === 'cut' || (call.end.type === 'left' && !hasStalled(call));
		return calls
			.filter(call => isEndedEarly(call) && byId.has(call.id) && !isDisturbed(call) && !isHeldBack(call))
			.map(({id, instance}) => `${id} was cut at ${instance}`);
	},
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
	stopsCleanly,
	recovers,
];
