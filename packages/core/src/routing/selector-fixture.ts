/** Helpers shared by the specs of the upstream selector. */
import {
	availabilityZoneIdSchema, instanceIdSchema, upstreamIdSchema, type UpstreamId,
} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import {serviceSchema, type Service} from '../model/service.js';
import {serviceRulesSchema} from '../model/service-rules.js';
import type {AttemptSignal} from './attempt-signal.js';
import {UpstreamSelector, type UpstreamSelectorOptions} from './upstream-selector.js';

export const seed = 20_263;
export const noneExcluded: ReadonlySet<UpstreamId> = new Set();
export const upstreamId = (index: number) => upstreamIdSchema.parse(`ledger-${index}`);

export function createService(count: number, first = 0): Service {
	return serviceSchema.parse({
		id: 'ledger',
		upstreams: Array.from({length: count}, (_, offset) => ({
			id: `ledger-${first + offset}`,
			address: `127.0.0.1:${9000 + first + offset}`,
			availabilityZone: (first + offset) % 2 === 0 ? 'nasr' : 'giza',
			slots: 3,
			connections: 250,
		})),
	});
}

export function createSelector(rules: Record<string, unknown>, options: Partial<UpstreamSelectorOptions> = {}): UpstreamSelector {
	return new UpstreamSelector({
		service: createService(4),
		rules: serviceRulesSchema.parse({service: 'ledger', ...rules}),
		instance: instanceIdSchema.parse('entry-0'),
		availabilityZone: availabilityZoneIdSchema.parse('nasr'),
		instances: [],
		random: createRandomSource(seed),
		nowMs: 0,
		...options,
	});
}

export function chosenBy(selector: UpstreamSelector, nowMs: number, excluded = noneExcluded): UpstreamId | undefined {
	const choice = selector.choose({priority: 5, excluded, nowMs});
	return choice.type === 'chosen' ? choice.upstream : undefined;
}

export function countChoices(selector: UpstreamSelector, nowMs: number, draws = 400): Map<UpstreamId | undefined, number> {
	const counts = new Map<UpstreamId | undefined, number>();
	for (let draw = 0; draw < draws; draw++) {
		const upstream = chosenBy(selector, nowMs);
		counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
	}

	return counts;
}

export function completeAttempt(selector: UpstreamSelector, upstream: UpstreamId, ended: {latencyMs?: number; signal?: AttemptSignal; nowMs?: number; inFlight?: number}): void {
	const {latencyMs = 10, signal = 'success', nowMs = 0, inFlight} = ended;
	const sentAtMs = nowMs - latencyMs;
	selector.onSent(upstream, sentAtMs);
	const report = inFlight === undefined ? undefined : {inFlight};
	selector.onEnded(upstream, {
		sentAtMs, signal, nowMs, ...(report && {report}),
	});
}

