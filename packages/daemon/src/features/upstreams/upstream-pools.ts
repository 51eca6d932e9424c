/** Connection pools of the upstreams, one per upstream, with one request per connection at a time. */
import type {Upstream, UpstreamId} from '@cairnbank/core';
import {Pool} from 'undici';

/** With pipelining, the failure of one connection would fail requests of several callers. */
const requestsPerConnection = 1;

export type UpstreamPoolsOptions = {
	readonly connectTimeoutMs: number;
	readonly keepAliveTimeoutMs: number;
};

/** An upstream and the number of connections that this instance may open to it. */
export type ConnectedUpstream = {
	readonly upstream: Upstream;
	readonly connections: number;
};

type PoolEntry = ConnectedUpstream & {
	readonly pool: Pool;
};

export class UpstreamPools {
	readonly #entries = new Map<UpstreamId, PoolEntry>();
	readonly #options: UpstreamPoolsOptions;

	constructor(options: UpstreamPoolsOptions) {
		this.#options = options;
	}

	/** Opens and closes pools to match the given upstreams. Closed pools first finish their requests in flight. */
	update(connected: readonly ConnectedUpstream[]): void {
		const wantedById = new Map(connected.map(wanted => [wanted.upstream.id, wanted]));
		for (const [id, entry] of this.#entries) {
			const wanted = wantedById.get(id);
			if (wanted?.upstream.address !== entry.upstream.address || wanted.connections !== entry.connections) {
				this.#entries.delete(id);
				void entry.pool.close();
			}
		}

		for (const wanted of connected) {
			if (!this.#entries.has(wanted.upstream.id)) {
				this.#entries.set(wanted.upstream.id, {...wanted, pool: this.#open(wanted)});
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

	#open({upstream, connections}: ConnectedUpstream): Pool {
		return new Pool(`http://${upstream.address}`, {
			connections,
			pipelining: requestsPerConnection,
			keepAliveTimeout: this.#options.keepAliveTimeoutMs,
			connect: {timeout: this.#options.connectTimeoutMs},
		});
	}
}
