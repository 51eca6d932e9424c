/** Chooses the upstream of each request of one service, from what this instance has seen. */
import type {AvailabilityZoneId, InstanceId, UpstreamId} from '../model/ids.js';
import {ServiceConcurrencyLimit} from '../limits/service-concurrency-limit.js';
import type {RandomSource} from '../model/random-source.js';
import type {Service} from '../model/service.js';
import type {ServiceRules} from '../model/service-rules.js';
import {estimatedInFlight} from './load-estimate.js';
import type {AttemptSignal} from './attempt-signal.js';
import type {AttemptEnd} from './attempt-end.js';
import {CandidateFilter} from './candidate-filter.js';
import type {Choice} from './choice.js';
import type {ChooseRequest} from './choose-request.js';
import type {Chooser} from './chooser.js';
import {connectionShare} from './connection-share.js';
import {createChooser} from './create-chooser.js';
import {recordSuccess, recordFailure} from './ejection.js';
import {homesOf} from './home-assignment.js';
import type {LoadReport} from './load-report.js';
import {ServiceAverages} from './service-averages.js';
import {UpstreamState} from './upstream-state.js';

export type UpstreamSelectorOptions = {
	readonly service: Service;
	readonly rules: ServiceRules;
	readonly instance: InstanceId;
	readonly availabilityZone: AvailabilityZoneId;
	/** Instances known at the time; only home subsets depend on it. */
	readonly instances: readonly InstanceId[];
	readonly random: RandomSource;
	readonly nowMs: number;
	/** The selector that this one replaces; what it knows of upstreams that stay is taken over. */
	readonly previous?: UpstreamSelector;
};

/** Half-life of reports where only room in the own availability zone is judged. */
const roomHalfLifeMs = 50;
/** Half-life of slowness where a limit follows it; the score is fresh at that time. */
const slownessHalfLifeMs = 1000;
/** A failure or refusal counts as this many times the service's average latency. */
const failureLatencyFactor = 4;

export class UpstreamSelector {
	readonly #rules: ServiceRules;
	readonly #instance: InstanceId;
	readonly #states: UpstreamState[];
	readonly #byId: ReadonlyMap<UpstreamId, UpstreamState>;
	readonly #averages: ServiceAverages;
	readonly #filter: CandidateFilter;
	readonly #chooser: Chooser;
	readonly #concurrency: ServiceConcurrencyLimit;
	#homes: ReadonlySet<UpstreamId> | undefined;
	#instances: readonly InstanceId[];

	constructor(options: UpstreamSelectorOptions) {
		const {service, rules, random, previous} = options;
		this.#rules = rules;
		this.#instance = options.instance;
		this.#instances = options.instances;
		this.#averages = previous?.averages ?? new ServiceAverages();
		this.#states = service.upstreams.flatMap(upstream => stateFor(upstream, options));
		this.#byId = new Map(this.#states.map(state => [state.upstream.id, state]));
		this.#concurrency = new ServiceConcurrencyLimit(this.#states.reduce((sum, state) => sum + state.limit.maximum, 0));
		this.#filter = new CandidateFilter({
			slowStartMs: rules.limits.slowStartMs,
			preferredAvailabilityZone: rules.preferOwnAvailabilityZone ? options.availabilityZone : undefined,
			random,
			hasFreeSlot: (state, nowMs) => estimatedInFlight(state, this.#averages, roomHalfLifeMs, nowMs) < state.upstream.slots,
		});
		this.#chooser = createChooser(rules.policy, {
			random,
			averages: this.#averages,
			homes: instancesPerUpstream => this.#homesOf(instancesPerUpstream),
		});
	}

	get averages(): ServiceAverages {
		return this.#averages;
	}

	/** Requests that this instance keeps with all upstreams together. */
	get concurrencyLimit(): number {
		return this.#concurrency.value;
	}

	/** What is known of each upstream, for metrics and for the prober. */
	get states(): readonly UpstreamState[] {
		return this.#states;
	}

	stateOf(upstream: UpstreamId): UpstreamState | undefined {
		return this.#byId.get(upstream);
	}

	/** Chooses an upstream; the caller reports with `onSent` if it uses it. */
	choose(request: ChooseRequest): Choice {
		const reason = this.#filter.fill(this.#states, request);
		if (reason !== undefined) {
			return {type: 'none', reason};
		}

		const state = this.#chooser.choose(this.#filter.candidates, request.nowMs, request.priority);
		return {type: 'chosen', upstream: state.upstream.id};
	}

	/** Whether a new request had better wait: the service has all it can run soon, or every upstream is at its limit. */
	isAtLimit(priority: number, nowMs: number): boolean {
		let isAnyAvailable = false;
		let isAnyOpen = false;
		let inFlight = 0;
		for (const state of this.#states) {
			inFlight += state.inFlight;
			if (state.isAvailable(nowMs)) {
				isAnyAvailable = true;
				isAnyOpen ||= state.limit.admits(state.inFlight, nowMs);
			}
		}

		return isAnyAvailable && !(isAnyOpen && this.#concurrency.admits(inFlight, priority, nowMs));
	}

	onSent(upstream: UpstreamId, nowMs: number): void {
		this.#byId.get(upstream)?.onSent(nowMs);
	}

	/** Once for each `onSent`, with the time that it was given. */
	onEnded(upstream: UpstreamId, ended: AttemptEnd): void {
		const state = this.#byId.get(upstream);
		if (state === undefined) {
			return;
		}

		state.onEnded(ended.sentAtMs);
		this.#onSignal(state, ended.signal, ended.nowMs - ended.sentAtMs, ended.nowMs);
		if (ended.report !== undefined) {
			this.#onReport(state, ended.report, ended.nowMs);
		}
	}

	/** An answer to a probe. */
	onProbe(upstream: UpstreamId, report: LoadReport, nowMs: number): void {
		const state = this.#byId.get(upstream);
		if (state !== undefined) {
			this.#onReport(state, report, nowMs);
		}
	}

	/** Takes an upstream out of new work, or back in with a slow start. */
	setDraining(upstream: UpstreamId, isDraining: boolean, nowMs: number): void {
		const state = this.#byId.get(upstream);
		if (state === undefined || state.isDraining === isDraining) {
			return;
		}

		state.isDraining = isDraining;
		state.slowStartFromMs = nowMs;
	}

	/** The instances known now; home subsets follow them. */
	setInstances(instances: readonly InstanceId[]): void {
		this.#instances = instances;
		this.#homes = undefined;
	}

	#homesOf(instancesPerUpstream: number): ReadonlySet<UpstreamId> {
		this.#homes ??= homesOf(this.#instance, this.#instances, this.#states.map(state => state.upstream.id), instancesPerUpstream);
		return this.#homes;
	}

	#onReport(state: UpstreamState, report: LoadReport, nowMs: number): void {
		state.onReport(report.inFlight, nowMs);
		this.#concurrency.onReport(report.inFlight / state.upstream.slots, this.#averages.latencyMs, nowMs);
		this.#averages.addOthersInFlight(state.othersInFlight, state.upstream.slots);
		this.#chooser.onReport?.(state, report, nowMs);
	}

	#onSignal(state: UpstreamState, signal: AttemptSignal, latencyMs: number, nowMs: number): void {
		switch (signal) {
			case 'success': {
				recordSuccess(state);
				state.onLatency(latencyMs, this.#averages.latencyMs, nowMs);
				this.#averages.addLatency(latencyMs);
				state.limit.onAnswer(state.inFlight, state.slowness.factorAt(nowMs, slownessHalfLifeMs) > 1);
				break;
			}

			case 'shed': {
				this.#penalize(state, latencyMs, nowMs);
				state.limit.onShed(nowMs, this.#averages.latencyMs);
				break;
			}

			case 'failure':
			case 'timeout': {
				this.#penalize(state, latencyMs, nowMs);
				recordFailure(state, this.#states, this.#rules.limits.ejectionFloorRatio, nowMs);
				break;
			}

			case 'neutral': {
				this.#onGivenUp(state, latencyMs, nowMs);
				break;
			}
		}
	}

	/** An attempt that was given up, as its hedge won or its caller left, would have taken at least as long as it was out. */
	#onGivenUp(state: UpstreamState, elapsedMs: number, nowMs: number): void {
		const averageMs = this.#averages.latencyMs;
		if (elapsedMs > averageMs) {
			state.onLatency(elapsedMs, averageMs, nowMs);
		}
	}

	/** A refusal that comes fast must not make the upstream look fast. */
	#penalize(state: UpstreamState, latencyMs: number, nowMs: number): void {
		const averageMs = this.#averages.latencyMs;
		state.onLatency(Math.max(latencyMs, failureLatencyFactor * averageMs), averageMs, nowMs);
	}
}

/** The known state of an upstream that stays; a new one, with a slow start unless all are new. */
function stateFor(upstream: Service['upstreams'][number], options: UpstreamSelectorOptions): UpstreamState[] {
	const {rules, instance, instances, previous, nowMs} = options;
	const share = connectionShare(upstream, rules.probes.maximumInstances, instance, instances);
	if (share === 0) {
		return [];
	}

	const known = previous?.stateOf(upstream.id);
	if (known?.upstream.address === upstream.address) {
		known.upstream = upstream;
		known.limit.resize(upstream.slots, share);
		return [known];
	}

	const state = new UpstreamState(upstream, share);
	state.slowStartFromMs = previous === undefined ? undefined : nowMs;
	return [state];
}
