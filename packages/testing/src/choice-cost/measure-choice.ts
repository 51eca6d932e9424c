/** Times choices of one policy over a service of a given size. */
import {
	availabilityZoneIdSchema, createRandomSource, instanceIdSchema, serviceRulesSchema, serviceSchema,
	type RoutingPolicy, type Service, type UpstreamId,
} from '@cairnbank/core';
import {UpstreamSelector} from '@cairnbank/core/routing';

const instanceCount = 19;
/** Few enough that no upstream reaches its limit, which would end the choice early. */
const inFlightAtOnce = 8;
const choicesPerRepeat = 20_000;
const msBetweenChoices = 0.1;
const nsPerMs = 1_000_000;
const seed = 7;

const instanceId = (index: number) => instanceIdSchema.parse(`entry-${index}`);

function serviceOf(upstreams: number): Service {
	const firstPort = 10_000;
	return serviceSchema.parse({
		id: 'ledger',
		upstreams: Array.from({length: upstreams}, (_, index) => ({
			id: `ledger-${index}`, address: `127.0.0.1:${firstPort + index}`, availabilityZone: 'nasr', slots: 3, connections: 250,
		})),
	});
}

/** Sends choices around: each request ends after the next few dozen, with a report. */
function runChoices(selector: UpstreamSelector, startMs: number): void {
	const excluded: ReadonlySet<UpstreamId> = new Set();
	const open: Array<{upstream: UpstreamId; sentAtMs: number}> = [];
	for (let index = 0; index < choicesPerRepeat; index++) {
		const nowMs = startMs + (index * msBetweenChoices);
		const choice = selector.choose({priority: 5, excluded, nowMs});
		if (choice.type === 'chosen') {
			selector.onSent(choice.upstream, nowMs);
			open.push({upstream: choice.upstream, sentAtMs: nowMs});
		}

		if (open.length > inFlightAtOnce) {
			const {upstream, sentAtMs} = open[index % open.length]!;
			open[index % open.length] = open.at(-1)!;
			open.pop();
			selector.onEnded(upstream, {
				sentAtMs, nowMs, signal: 'success', report: {inFlight: index % 4},
			});
		}
	}
}

/** Median nanoseconds for a choice with its bookkeeping (sent, ended, report). */
export function measureChoiceNs(policy: RoutingPolicy, upstreams: number, repeats: number): number {
	const selector = new UpstreamSelector({
		service: serviceOf(upstreams),
		rules: serviceRulesSchema.parse({service: 'ledger', policy}),
		instance: instanceId(0),
		availabilityZone: availabilityZoneIdSchema.parse('nasr'),
		instances: Array.from({length: instanceCount}, (_, index) => instanceId(index)),
		random: createRandomSource(seed),
		nowMs: 0,
	});
	const samples: number[] = [];
	for (let repeat = 0; repeat <= repeats; repeat++) {
		const startMs = performance.now();
		runChoices(selector, repeat * choicesPerRepeat * msBetweenChoices);
		samples.push((performance.now() - startMs) * nsPerMs / choicesPerRepeat);
	}

	const [, ...warm] = samples;
	return warm.toSorted((a, b) => a - b)[Math.floor(warm.length / 2)] ?? 0;
}
