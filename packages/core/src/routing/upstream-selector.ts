/** Selects an upstream for each request of one service, based on what this instance has observed. */
import type {AvailabilityZoneId, InstanceId, UpstreamId} from '../model/ids.js';
import {ServiceConcurrencyLimit} from '../limits/service-concurrency-limit.js';
import type {RandomSource} from '../model/random-source.js';
import type {Service} from '../model/service.js';
import type {ServiceRules} from '../model/service-rules.js';
import {estimatedInFlight} from './load-estimate.js';
import type {AttemptSignal} from './attempt-signal.js';
import type {AttemptFeedback} from './attempt-feedback.js';
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
	/** Instances known at this time. Used for home subsets, and for upstreams that accept fewer connections than there may be instances. */
	readonly instances: readonly InstanceId[];
	readonly random: RandomSource;
	readonly nowMs: number;
	/** The selector that this one replaces. The state of upstreams that remain is taken over. */
	readonly previous?: UpstreamSelector;
};

/** Half-life of load reports when checking for free slots in the preferred availability zone. */
const freeSlotHalfLifeMs = 50;
/** Half-life of slowness when adapting a limit; an answer has just updated the slowness at that time. */
const slownessHalfLifeMs = 1000;
/** Failures and shed responses count as at least this many times the service's average latency. */
const failureLatencyFactor = 4;

export class UpstreamSelector {
	readonly #rules: ServiceRules;
	readonly #instance: InstanceId;
	readonly #states: UpstreamState[];
	readonly #byId: ReadonlyMap<UpstreamId, UpstreamState>;
	readonly #averages: ServiceAverages;
	readonly #filter: CandidateFilter;
	readonly #chooser: Chooser;
	readonly #concurrencyLimit: ServiceConcurrencyLimit;
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
		this.#concurrencyLimit = new ServiceConcurrencyLimit(this.#states.reduce((sum, state) => sum + state.limit.maximum, 0));
		this.#filter = new CandidateFilter({
			slowStartMs: rules.limits.slowStartMs,
			preferredAvailabilityZone: rules.preferOwnAvailabilityZone ? options.availabilityZone : undefined,
			random,
			hasFreeSlot: (state, nowMs) => estimatedInFlight(state, this.#averages, freeSlotHalfLifeMs, nowMs) < state.upstream.slots,
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

	/** Limit on this instance's requests in flight at all upstreams together. */
	get concurrencyLimit(): number {
		return this.#concurrencyLimit.value;
	}

	/** State of each upstream, for metrics and the prober. */
	get states(): readonly UpstreamState[] {
		return this.#states;
	}

	stateOf(upstream: UpstreamId): UpstreamState | undefined {
		return this.#byId.get(upstream);
	}

	/** Chooses an upstream. The caller must call `onSent` if it sends the request there. */
	choose(request: ChooseRequest): Choice {
		const reason = this.#filter.fill(this.#states, request);
		if (reason !== undefined) {
			return {type: 'none', reason};
		}

		const state = this.#chooser.choose(this.#filter.candidates, request.nowMs, request.priority);
		return {type: 'chosen', upstream: state.upstream.id};
	}

	/** Returns whether a new request should wait, as the service's concurrency limit or the limit of every available upstream is reached. */
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

		return isAnyAvailable && !(isAnyOpen && this.#concurrencyLimit.admits(inFlight, priority, nowMs));
	}

	onSent(upstream: UpstreamId, nowMs: number): void {
		this.#byId.get(upstream)?.onSent(nowMs);
	}

	/** Records the end of an attempt. Must be called once for each `onSent`, with the same send time. */
	onEnded(upstream: UpstreamId, feedback: AttemptFeedback): void {
		const state = this.#byId.get(upstream);
		if (state === undefined) {
			return;
		}

		state.onEnded(feedback.sentAtMs);
		this.#onSignal(state, feedback.signal, feedback.nowMs - feedback.sentAtMs, feedback.nowMs);
		if (feedback.report !== undefined) {
			this.#onReport(state, feedback.report, feedback.nowMs);
		}
	}

	/** Records the load report in the answer to a probe. */
	onProbe(upstream: UpstreamId, report: LoadReport, nowMs: number): void {
		const state = this.#byId.get(upstream);
		if (state !== undefined) {
			this.#onReport(state, report, nowMs);
		}
	}

	/** Stops sending new requests to an upstream, or starts again with a slow start. */
	setDraining(upstream: UpstreamId, isDraining: boolean, nowMs: number): void {
		const state = this.#byId.get(upstream);
		if (state === undefined || state.isDraining === isDraining) {
			return;
		}

		state.isDraining = isDraining;
		state.slowStartFromMs = nowMs;
	}

	/** Updates the known instances, from which home subsets are computed. */
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
		this.#concurrencyLimit.onReport(report.inFlight / state.upstream.slots, this.#averages.latencyMs, nowMs);
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
				this.#onAbandoned(state, latencyMs, nowMs);
				break;
			}
		}
	}

	/** Records the elapsed time of an abandoned attempt (its hedge won, or its caller disconnected) if it exceeds the average latency, as an answer would have taken at least as long. */
	#onAbandoned(state: UpstreamState, elapsedMs: number, nowMs: number): void {
		const averageMs = this.#averages.latencyMs;
		if (elapsedMs > averageMs) {
			state.onLatency(elapsedMs, averageMs, nowMs);
		}
	}

	/** Records a high latency for a failure, so that an upstream that fails fast does not look fast. */
	#penalize(state: UpstreamState, latencyMs: number, nowMs: number): void {
		const averageMs = this.#averages.latencyMs;
		state.onLatency(Math.max(latencyMs, failureLatencyFactor * averageMs), averageMs, nowMs);
	}
}

/** Returns the existing state of an upstream that remains, or a new one, with a slow start unless this is the first selector. Returns nothing for an upstream that this instance must not use. */
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
