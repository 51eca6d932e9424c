/** Owns the connections to upstreams and knows which of them take new work. */
import type {RandomSource, Upstream, UpstreamId} from '@cairnbank/core';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import {ok, type Result} from 'neverthrow';
import type {Pool} from 'undici';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {UpstreamObservation} from '../admin/status-sources.js';
import type {ServiceInForce} from '../calls/service-in-force.js';
import {UpstreamPools} from './upstream-pools.js';

const maximumInstances = 40;

export type ChosenUpstream = {
	readonly upstream: Upstream;
	readonly dispatcher: Pool;
};

export class UpstreamsTask implements Task {
	readonly name = 'upstreams';
	readonly #pools: UpstreamPools;
	readonly #random: RandomSource;
	#drained: ReadonlySet<UpstreamId> = new Set();

	constructor(context: DaemonContext) {
		const {connectTimeoutMs, keepAliveTimeoutMs} = context.settings.upstreams;
		this.#pools = new UpstreamPools({maximumInstances, connectTimeoutMs, keepAliveTimeoutMs});
		this.#random = context.random;
		context.bus.on('configuration-in-force', ({configuration}) => {
			this.#apply(configuration);
		});
	}

	async start(): Promise<Result<void, StartError>> {
		return ok(undefined);
	}

	async stop(): Promise<void> {
		await this.#pools.close();
	}

	/** An upstream of the service that takes new work, or undefined where there is none. */
	choose(service: ServiceInForce, excluded: ReadonlySet<UpstreamId>): ChosenUpstream | undefined {
		const candidates = service.upstreams.filter(({id}) => !excluded.has(id) && !this.#drained.has(id));
		const upstream = candidates[this.#random.below(candidates.length)];
		const dispatcher = upstream && this.#pools.get(upstream.id);
		return upstream && dispatcher && {upstream, dispatcher};
	}

	/** How an upstream stands in the eyes of this instance. */
	observe(id: UpstreamId): UpstreamObservation {
		return {state: this.#drained.has(id) ? 'draining' : 'ready', inFlight: this.#pools.get(id)?.stats.running ?? 0};
	}

	#apply(configuration: ConfigurationState): void {
		this.#drained = configuration.drained;
		this.#pools.update(configuration.inventory.services.flatMap(service => service.upstreams));
	}
}
