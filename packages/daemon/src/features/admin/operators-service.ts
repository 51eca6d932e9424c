/** Implements the operators' procedures: identity, configuration in force and observed state of this instance. */
import type {Inventory} from '@cairnbank/core';
import {storeConfiguration} from '@cairnbank/core/configuration';
import type {
	ConfigurationStatus, ConfigurationTransfer, InstanceBrief, InstanceStatus, OperatorsPort, UpstreamStatus,
} from '@cairnbank/protocol/operators';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {ConfigurationHashCache} from './configuration-hash-cache.js';
import type {InstanceState} from './instance-state.js';
import type {StatusSources} from './status-sources.js';

export class OperatorsService implements OperatorsPort {
	readonly #context: DaemonContext;
	readonly #state: InstanceState;
	readonly #sources: StatusSources;
	readonly #hashCache = new ConfigurationHashCache();
	readonly #startedAtMs: number;

	constructor(context: DaemonContext, state: InstanceState, sources: StatusSources) {
		this.#context = context;
		this.#state = state;
		this.#sources = sources;
		this.#startedAtMs = context.clock.monotonicMs();
	}

	brief(): InstanceBrief {
		const {settings, incarnation} = this.#context;
		return {
			id: settings.instanceId,
			incarnation,
			availabilityZone: settings.availabilityZone,
			state: this.#state.current,
			configuration: this.#configurationStatus(),
		};
	}

	status(): InstanceStatus {
		const {inventory, recentChanges} = this.#sources.configuration();
		return {
			...this.brief(),
			callersAddress: this.#sources.callersAddress(),
			uptimeMs: this.#context.clock.monotonicMs() - this.#startedAtMs,
			members: [...this.#sources.members()],
			upstreams: this.#upstreams(inventory),
			recentChanges: [...recentChanges],
		};
	}

	configuration(): ConfigurationTransfer {
		const state = this.#sources.configuration();
		return {throughOffset: state.throughOffset, hash: this.#hashCache.hash(state), state: storeConfiguration(state)};
	}

	drainInstance(): void {
		this.#context.logger.info('stop requested by an operator');
		this.#context.bus.send({type: 'stop-requested'});
	}

	#configurationStatus(): ConfigurationStatus {
		const state = this.#sources.configuration();
		return {throughOffset: state.throughOffset, acceptedOffset: state.acceptedOffset, hash: this.#hashCache.hash(state)};
	}

	#upstreams({services}: Inventory): UpstreamStatus[] {
		return services.flatMap(service => service.upstreams.map(({id, address, availabilityZone, slots}) => ({
			id, service: service.id, address, availabilityZone, slots, ...this.#sources.observeUpstream(id),
		})));
	}
}
