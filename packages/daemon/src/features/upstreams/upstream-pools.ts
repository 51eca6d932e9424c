/** Connections to upstreams: one pool per upstream, one request per connection at a time. */
import type {Upstream, UpstreamId} from '@cairnbank/core';
import {Pool} from 'undici';

/** Pipelining would put requests of several callers at the mercy of one connection. */
const requestsPerConnection = 1;

export type UpstreamPoolsOptions = {
	/** Greatest number of instances that share an upstream's connections. */
	readonly maximumInstances: number;
	readonly connectTimeoutMs: number;
	readonly keepAliveTimeoutMs: number;
};

type Entry = {
	readonly upstream: Upstream;
	readonly pool: Pool;
};

export class UpstreamPools {
	readonly #entries = new Map<UpstreamId, Entry>();
	readonly #options: UpstreamPoolsOptions;

	constructor(options: UpstreamPoolsOptions) {
		this.#options = options;
	}

	/** Brings the pools in line with an inventory; what left it closes after its requests in flight. */
	update(upstreams: readonly Upstream[]): void {
		const wanted = new Map(upstreams.map(upstream => [upstream.id, upstream]));
		for (const [id, entry] of this.#entries) {
			if (wanted.get(id)?.address !== entry.upstream.address) {
				this.#entries.delete(id);
				void entry.pool.close();
			}
		}

		for (const upstream of upstreams) {
			if (!this.#entries.has(upstream.id)) {
				this.#entries.set(upstream.id, {upstream, pool: this.#open(upstream)});
			}
		}
	}

	get(id: UpstreamId): Pool | undefined {
		return this.#entries.get(id)?.pool;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#entries.values()].map(async entry => entry.pool.close()));
		this.#entries.clear();
	}

	#open(upstream: Upstream): Pool {
		const share = Math.max(1, Math.floor(upstream.connections / this.#options.maximumInstances));
		return new Pool(`http://${upstream.address}`, {
			connections: share,
			pipelining: requestsPerConnection,
			keepAliveTimeout: this.#options.keepAliveTimeoutMs,
			connect: {timeout: this.#options.connectTimeoutMs},
		});
	}
}
