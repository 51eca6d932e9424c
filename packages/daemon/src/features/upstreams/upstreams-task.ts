/** Owns the connections to upstreams and tracks the load, the limit and the draining of each. */
import type {InstanceId, UpstreamId} from '@cairnbank/core';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import {connectionShare} from '@cairnbank/core/routing';
import {ok, type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {UpstreamObservation} from '../admin/status-sources.js';
import {prepareConfiguration} from '../calls/configuration-in-force.js';
import type {ServiceInForce} from '../calls/service-in-force.js';
import {AdmissionStage} from './admission-stage.js';
import type {ChosenUpstream} from './chosen-upstream.js';
import {DrainingUpstreams} from './draining-upstreams.js';
import {Prober} from './prober.js';
import {ServiceSelectors} from './service-selectors.js';
import {TrackedAttempt, type UpstreamSign} from './tracked-attempt.js';
import {UpstreamMetrics, type UpstreamGaugeValues} from './upstream-metrics.js';
import {UpstreamPools, type ConnectedUpstream} from './upstream-pools.js';

const probeTimeoutMs = 1000;
const instancesRefreshMs = 1000;

export class UpstreamsTask implements Task {
	readonly name = 'upstreams';
	/** Queues calls while all upstreams of their service are at their limits. */
	readonly admission: AdmissionStage;
	readonly #context: DaemonContext;
	readonly #selectors: ServiceSelectors;
	readonly #pools: UpstreamPools;
	readonly #prober: Prober;
	readonly #drainingUpstreams = new DrainingUpstreams();
	readonly #nowMs: () => number;
	readonly #instances: () => readonly InstanceId[];
	#instancesTimer: NodeJS.Timeout | undefined;

	/** @param instances returns the instances that are in service now, for home subsets */
	constructor(context: DaemonContext, instances: () => readonly InstanceId[]) {
		const {clock, random, settings, metrics} = context;
		this.#context = context;
		this.#instances = instances;
		this.#nowMs = () => clock.monotonicMs();
		this.#selectors = new ServiceSelectors({
			instance: settings.instanceId, availabilityZone: settings.availabilityZone, random,
		});
		this.#pools = new UpstreamPools(settings.upstreams);
		const upstreamMetrics = new UpstreamMetrics(metrics, () => this.#gauges());
		this.#prober = new Prober({
			clock,
			metrics: upstreamMetrics,
			selectors: this.#selectors,
			probeTimeoutMs,
			poolOf: id => this.#pools.get(id),
		});
		this.admission = new AdmissionStage({
			clock,
			metrics: upstreamMetrics,
			isAtLimit: (service, priority) => this.#selectors.get(service)?.isAtLimit(priority, this.#nowMs()) ?? false,
		});
		this.#subscribe();
	}

	async start(): Promise<Result<void, StartError>> {
		this.#prober.start();
		this.#instancesTimer = setInterval(() => {
			this.#selectors.setInstances(this.#instances());
		}, instancesRefreshMs);
		return ok(undefined);
	}

	/** Refuses the calls that wait, before the end of those that run would start them. */
	expire(): void {
		this.admission.stop();
	}

	async stop(): Promise<void> {
		this.#prober.stop();
		clearInterval(this.#instancesTimer);
		this.admission.stop();
		await this.#pools.close();
	}

	/** Chooses an upstream of the service for one attempt. Returns undefined if none may be used now. */
	choose(service: ServiceInForce, excluded: ReadonlySet<UpstreamId>, priority: number): ChosenUpstream | undefined {
		const selector = this.#selectors.get(service.id);
		const choice = selector?.choose({priority, excluded, nowMs: this.#nowMs()});
		if (selector === undefined || choice?.type !== 'chosen') {
			return undefined;
		}

		const upstream = selector.stateOf(choice.upstream)?.upstream;
		const dispatcher = this.#pools.get(choice.upstream);
		return upstream && dispatcher && new TrackedAttempt({
			upstream,
			dispatcher,
			selector,
			nowMs: this.#nowMs,
			onSign: (sign, sentAtMs) => {
				this.#handleSign(upstream.id, sign, sentAtMs);
			},
			onSlotFreed: () => {
				this.admission.onSlotFreed(service.id);
			},
		});
	}

	/** Returns the state of an upstream as this instance sees it. */
	observe(id: UpstreamId): UpstreamObservation {
		const state = this.#selectors.ofUpstream(id)?.stateOf(id);
		const nowMs = this.#nowMs();
		const reportAgeMs = state && nowMs - state.reportAtMs;
		return {
			state: toObservedState(this.#drainingUpstreams.isDraining(id), state !== undefined && nowMs < state.ejectedUntilMs),
			inFlight: state?.inFlight ?? 0,
			...(state && reportAgeMs !== undefined && Number.isFinite(reportAgeMs) && {
				utilizationRatio: (state.othersInFlight + state.inFlight) / state.upstream.slots,
				reportAgeMs,
			}),
		};
	}

	/** Takes one probe from the upstream's budget. Returns false if none is left. */
	tryProbe(upstream: UpstreamId): boolean {
		return this.#prober.tryTake(upstream);
	}

	#subscribe(): void {
		const {bus} = this.#context;
		bus.on('configuration-in-force', ({configuration}) => {
			this.#applyConfiguration(configuration);
		});
		bus.on('upstream-draining', ({upstream}) => {
			this.#drainingUpstreams.mark(upstream);
			this.#updateDraining(upstream);
		});
		bus.on('upstream-undrained', ({upstream}) => {
			this.#drainingUpstreams.unmark(upstream);
			this.#updateDraining(upstream);
		});
	}

	/** Applies a configuration synchronously, so that each choice sees either the old or the new one as a whole. */
	#applyConfiguration(configuration: ConfigurationState): void {
		const nowMs = this.#nowMs();
		const services = [...prepareConfiguration(configuration).services.values()];
		const connected = services.flatMap(service => this.#connectedUpstreams(service));
		this.#pools.update(connected);
		this.#selectors.setServices(services, nowMs);
		this.#prober.setServices(services, nowMs);
		const ids = connected.map(({upstream}) => upstream.id);
		this.#drainingUpstreams.setDrainedByOperators(configuration.drained);
		this.#drainingUpstreams.retain(new Set(ids));
		for (const id of ids) {
			this.#updateDraining(id);
		}
	}

	#connectedUpstreams({upstreams, rules}: ServiceInForce): ConnectedUpstream[] {
		const {instanceId} = this.#context.settings;
		return upstreams
			.map(upstream => ({upstream, connections: connectionShare(upstream, rules.probes.maximumInstances, instanceId, [])}))
			.filter(({connections}) => connections > 0);
	}

	#updateDraining(upstream: UpstreamId): void {
		this.#selectors.ofUpstream(upstream)?.setDraining(upstream, this.#drainingUpstreams.isDraining(upstream), this.#nowMs());
	}

	/** Applies a drain mark from an answer here immediately. Membership passes it on to the other instances and clears it. */
	#handleSign(upstream: UpstreamId, sign: UpstreamSign, sentAtMs: number): void {
		if (sign === 'marked') {
			this.#drainingUpstreams.mark(upstream);
			this.#updateDraining(upstream);
		} else if (sign === 'clean' && !this.#drainingUpstreams.isDraining(upstream)) {
			return;
		}

		this.#context.bus.send({
			type: 'upstream-sign', upstream, sign, sentAtMs,
		});
	}

	* #gauges(): Iterable<UpstreamGaugeValues> {
		const nowMs = this.#nowMs();
		for (const [service, selector] of this.#selectors.entries()) {
			for (const state of selector.states) {
				yield {
					service,
					upstream: state.upstream.id,
					inFlight: state.inFlight,
					limit: state.limit.value,
					latencyMs: state.latencyMs.value,
					isDraining: state.isDraining,
					isEjected: nowMs < state.ejectedUntilMs,
				};
			}
		}
	}
}

function toObservedState(isDraining: boolean, isEjected: boolean): UpstreamObservation['state'] {
	if (isDraining) {
		return 'draining';
	}

	return isEjected ? 'ejected' : 'ready';
}
